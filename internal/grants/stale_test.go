// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Guards against new runs that overload the log after a loss of all, because the readers in the directory have been replaced by others.
func TestLimitsAreBackAfterALossWithReplacedReaders(t *testing.T) {
	const length = 15
	for _, x := range []struct {
		name     string
		readRate int
		slow     time.Duration // from the loss on
	}{
		{"slow", siteReadRate, 4 * time.Second},
		{"quarter", siteReadRate / 4, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleetOf(1, hotWorkspace, quota.Limit{}, 0)
				f.readRate, f.configBytes, f.targetsBytes, f.shareReads = x.readRate, 240_000, 100_000, true
				replace := func(f *simFleet) {
					for z := range simZones {
						record := fmt.Sprintf(`{"instances":%d,"readers":[{"instance":"gone1","address":"gone1"},`+
							`{"instance":"gone2","address":"gone2"},{"instance":"gone3","address":"gone3"}]}`, largeFleet)
						_, err := f.log.Append(context.Background(), directoryPartition, partlog.AnyOffset,
							encodeKeyed(fmt.Sprint("z", z), []byte(record)))
						qt.Check(t, err, qt.IsNil)
					}
					loseAll(none)(f)
				}
				r := f.playSite(1, largeFleet, length*time.Second, fault{at: 0, do: slowLog(x.slow)}, fault{at: 0, do: replace})
				logRefusals(t, r, length)
				qt.Assert(t, r.lostAfter(lastWindow), qt.Equals, 0)
			})
		})
	}
}
