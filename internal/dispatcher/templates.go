package dispatcher

import (
	"slices"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// OptionsOf returns the options of a pool's queue: the default options o, with the values that templates set for the
// pool. reportsLoad is true if the pool has engines, which report their load.
func OptionsOf(v *config.View, o dispatch.Options, pool ids.PoolID) (options dispatch.Options, reportsLoad bool) {
	for _, t := range v.Templates() {
		for _, m := range t.Models {
			if m.Pool != pool {
				continue
			}
			reportsLoad = true
			if m.MaxInFlight > 0 {
				o.MaxInFlight = m.MaxInFlight
			}
		}
	}
	return o, reportsLoad
}

// ModelPoolsOf returns the pools of engines that the templates name.
func ModelPoolsOf(v *config.View) (pools []ids.PoolID) {
	for _, t := range v.Templates() {
		for _, m := range t.Models {
			if !slices.Contains(pools, m.Pool) {
				pools = append(pools, m.Pool)
			}
		}
	}
	return pools
}
