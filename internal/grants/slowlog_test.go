// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Guards against a log that only answers slowly and that the fleet makes unavailable by what it repeats: leases end, the configuration
// gets too old, and all requests are refused.
func TestSlowLogIsNoOutage(t *testing.T) {
	const slow, length = 5, 9
	for _, instances := range []int{24, largeFleet} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleetOf(1, hotWorkspace, quota.Limit{}, 0)
				f.readRate, f.configBytes, f.targetsBytes, f.shareReads = siteReadRate, 240_000, 100_000, true
				r := f.playSite(1, instances, length*time.Second, fault{at: 0, do: slowLog(slow * time.Second)})
				logRefusals(t, r, length)
				refused := 0
				for s := range length {
					refused += r.refusedIn(s)
				}
				qt.Check(t, refused <= r.sent/100, qt.IsTrue, qt.Commentf("%d refusals of %d turns", refused, r.sent))
			})
		})
	}
}
