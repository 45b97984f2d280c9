// Package region decides in which zones a request may run, and which instances may hold its body, if its route or workspace
// allows only some regions.
package region

import (
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Map holds the region of each zone. A zone that is not in it is in no region that a list could allow.
type Map map[ids.Zone]string

// Zones returns the zones whose regions are in each of the lists, in order. Lists without elements allow all regions. If all
// lists are of this kind, it returns nil, which stands for all zones; otherwise the result is not nil.
func (m Map) Zones(lists ...[]string) []ids.Zone {
	if !slices.ContainsFunc(lists, restricts) {
		return nil
	}
	zones := make([]ids.Zone, 0, len(m))
	for zone := range m {
		if m.Allows(zone, lists...) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Allows reports whether the region of a zone is in each of the lists that restrict.
func (m Map) Allows(zone ids.Zone, lists ...[]string) bool {
	name, known := m[zone]
	return !slices.ContainsFunc(lists, func(l []string) bool { return restricts(l) && !(known && slices.Contains(l, name)) })
}

func restricts(list []string) bool { return len(list) > 0 }
