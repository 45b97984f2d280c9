package reports_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// start runs an instance's Reports until the test ends.
func start(c *qt.C, log partlog.Log, id ids.InstanceID) *reports.Reports {
	return startAt(c, log, id, 0)
}

// startAt does the same with a clock that is ahead.
func startAt(c *qt.C, log partlog.Log, id ids.InstanceID, ahead time.Duration) *reports.Reports {
	return startWith(c, log, id, func() time.Time { return time.Now().Add(ahead) }, zap.NewNop())
}

// startWith does the same with a clock and a logger.
func startWith(c *qt.C, log partlog.Log, id ids.InstanceID, now func() time.Time, logger *zap.Logger) *reports.Reports {
	r := reports.New(reports.Config{
		Self: relay.Peer{Instance: id, Address: "address of " + string(id)}, RunID: "run of " + string(id), Log: log,
		Grants:    grants.New(grants.Config{Self: quota.Run{Instance: id}, Now: now}),
		Reachable: func() bool { return true }, Leaving: func() bool { return false }, Now: now, Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
	})
	return r
}

func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for last := time.Now().Add(5 * time.Second); time.Now().Before(last); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("the condition did not become true within 5 s")
}

// Guards against a request that has crashed targets at one instance and is still run by others, and against one that stays
// refused at other instances after a target has completed it.
func TestSuspicionsAreReported(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	a, b := start(c, log, "a"), start(c, log, "b")
	eventually(c, func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
	address, ok := a.AddressOf("b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(address, qt.Equals, "address of b")
	for _, target := range []ids.TargetID{"t1", "t2", "t3"} {
		a.ReportDeath(suspect.Death{Fingerprint: "f", Target: target})
	}
	eventually(c, func() bool { return b.Quarantined("f") })
	b.Survived("f")
	eventually(c, func() bool { return !a.Quarantined("f") })
}
