// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/quota"
)

const (
	// siteReadRate is the rate of the large deployment's log, in bytes a second.
	siteReadRate = 80_000_000
	// lastWindow is the beginning of the last 4 s of the 15 after a loss of all, in which the users want everything back.
	lastWindow = 11 * time.Second
)

// playReadLoad plays a loss of all with a log that takes 2.5 s to send what all new runs read, and returns the turns until 15 s after
// it, the time in which the users want everything back.
func playReadLoad(t *testing.T, shareReads bool) *turns {
	f := newSimFleetOf(1, hotWorkspace, quota.Limit{}, 0)
	f.readRate, f.configBytes, f.targetsBytes, f.shareReads = 20_000_000, 240_000, 100_000, shareReads
	const length = 15
	r := f.playSite(1, largeFleet/2, length*time.Second, fault{at: 0, do: loseAll(none)})
	logRefusals(t, r, length)
	return r
}

// logRefusals logs the refusals of turns in each second.
func logRefusals(t *testing.T, r *turns, seconds int) {
	var perSecond []int
	for s := range seconds {
		perSecond = append(perSecond, r.refusedIn(s))
	}
	t.Logf("%d turns, refusals in each second %v, turns refused %d times: %d, later than a second: %d", r.sent, perSecond,
		lostTries, r.lostAfter(0), r.lostAfter(time.Second))
}

// Guards against new runs whose reads of the log after a loss of all take longer together than each of them waits, so that limits
// stay unavailable.
func TestReadsOfAStartDoNotOverloadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, playReadLoad(t, true).lostAfter(time.Second), qt.Equals, 0)
	})
}

// Guards against reads that are given up and made again at once while the log still sends what was asked for before, so that an
// overload never ends.
func TestOverloadByReadsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qt.Assert(t, playReadLoad(t, false).lostAfter(lastWindow), qt.Equals, 0)
	})
}

// Guards against new runs whose reports and reads after a loss of all keep the log busy with what they have given up, so that nobody
// learns who owns a limit and all requests are refused until somebody stops the fleet.
func TestLimitsAreBackAfterALoss(t *testing.T) {
	const length = 15
	for _, x := range []struct {
		name string
		// readRate is in bytes a second, slow how long the log is slow until a second before the loss, and from is from when on after the
		// loss no turn may be refused lostTries times.
		readRate   int
		slow, from time.Duration
	}{
		{"full rate", siteReadRate, 0, stableWindow},
		{"slow before", siteReadRate, 4 * time.Second, stableWindow},
		{"half", siteReadRate / 2, 0, stableWindow},
		{"quarter", siteReadRate / 4, 0, lastWindow},
		{"eighth", siteReadRate / 8, 0, lastWindow},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleetOf(1, hotWorkspace, quota.Limit{}, 0)
				f.readRate, f.configBytes, f.targetsBytes, f.restoreBytes, f.shareReads = x.readRate, 240_000, 100_000, 4<<20, true
				r := f.playSite(1, largeFleet, length*time.Second,
					fault{at: -time.Second - x.slow, do: slowLog(x.slow)}, fault{at: 0, do: loseAll(none)})
				logRefusals(t, r, length)
				qt.Assert(t, r.lostAfter(x.from), qt.Equals, 0)
			})
		})
	}
}
