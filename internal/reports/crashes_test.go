package reports_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

var crashPartition = partlog.Partition{Topic: "crashes"}

// fillReports appends more reports than a new run reads.
func fillReports(c *qt.C, log *partlogtest.Log) {
	for range 1200 {
		_, err := log.Append(c.Context(), partlog.Partition{Topic: "reports"}, partlog.AnyOffset, []byte(`{"instance":"x"}`))
		c.Assert(err, qt.IsNil)
	}
}

// Guards against a run that begins after a request was refused and lets it crash targets again (review/4): its deaths are neither in the
// reports that a new run reads, nor young enough there. Guards against deaths that count longer than they should, or not at all
// because clocks are apart, and against a request that is refused after a target has completed it.
func TestNewRunKnowsCrashes(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	a, b := start(c, log, "a"), start(c, log, "b")
	eventually(c, func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
	a.ReportDeath(suspect.Death{Fingerprint: "f", Target: "t1"})
	b.ReportDeath(suspect.Death{Fingerprint: "f", Target: "t2"})
	a.ReportDeath(suspect.Death{Fingerprint: "f", Target: "t3"})
	a.ReportDeath(suspect.Death{Fingerprint: "innocent", Target: "t1"})
	for _, target := range []ids.TargetID{"t1", "t2", "t3"} {
		b.ReportDeath(suspect.Death{Fingerprint: "completed", Target: target})
	}
	eventually(c, func() bool { return log.End(crashPartition) >= 3 && a.Quarantined("f") && a.Quarantined("completed") })
	before := log.End(crashPartition)
	a.Survived("completed")
	eventually(c, func() bool { return log.End(crashPartition) > before })
	fillReports(c, log)
	for _, f := range []struct {
		id      ids.InstanceID
		later   time.Duration
		refused bool
	}{{"c", 0, true}, {"d", 100 * time.Second, true}, {"e", -time.Hour, true}, {"f", 3 * time.Minute, false}} {
		n := startAt(c, log, f.id, f.later)
		eventually(c, func() bool { return len(n.Peers()) > 0 })
		c.Check(n.Quarantined("f"), qt.Equals, f.refused, qt.Commentf("after %v", f.later))
		c.Check(n.Quarantined("completed"), qt.IsFalse)
		c.Check(n.Quarantined("innocent"), qt.IsFalse)
	}
}

// Guards against appends for requests of which only one target has died, of which a failing zone makes thousands, against
// appends that never end, and against deaths that are lost because the log was unavailable when they were to be recorded.
func TestCrashesAreRecordedOnce(t *testing.T) {
	c := qt.New(t)
	log := partlogtest.New()
	a := start(c, log, "a")
	for i := range 50 {
		a.ReportDeath(suspect.Death{Fingerprint: ids.Fingerprint(rune('a' + i)), Target: "t1"})
	}
	eventually(c, func() bool { return log.End(partlog.Partition{Topic: "reports"}) >= 3 })
	c.Assert(log.End(crashPartition), qt.Equals, ids.Offset(0))
	log.SetFault(func(int) partlogtest.Fault {
		return partlogtest.Fault{Err: errors.Join(partlog.ErrNotApplied, errors.New("away"))}
	})
	a.ReportDeath(suspect.Death{Fingerprint: "f", Target: "t1"})
	a.ReportDeath(suspect.Death{Fingerprint: "f", Target: "t2"})
	eventually(c, func() bool { return log.Calls() > 3 })
	c.Assert(log.End(crashPartition), qt.Equals, ids.Offset(0))
	log.SetFault(nil)
	eventually(c, func() bool { return log.End(crashPartition) == 1 })
	end := log.End(partlog.Partition{Topic: "reports"})
	eventually(c, func() bool { return log.End(partlog.Partition{Topic: "reports"}) > end+2 })
	c.Assert(log.End(crashPartition), qt.Equals, ids.Offset(1))
}

// shortPages is a log that returns one record of crashes at a time and does not answer every second read of them.
type shortPages struct {
	*partlogtest.Log
	reads atomic.Int64
}

// Read implements partlog.Log.
func (l *shortPages) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	page, err := l.Log.Read(ctx, p, from, wait)
	if p == crashPartition {
		if l.reads.Add(1)%2 == 0 {
			return partlog.Page{}, partlog.ErrOutcomeUnknown
		}
		page.Records = page.Records[:min(1, len(page.Records))]
	}
	return page, err
}

// Guards against new runs that read all crashes from the beginning again after each read that was not answered.
func TestCrashesAreReadOnAfterAFailure(t *testing.T) {
	c := qt.New(t)
	log := &shortPages{Log: partlogtest.New()}
	for _, f := range []string{"a", "b", "c", "d"} {
		record := fmt.Sprintf(`{"fingerprint":%q,"atMs":%d,"deaths":[{"target":"t1"},{"target":"t2"},{"target":"t3"}]}`, f, time.Now().UnixMilli())
		_, err := log.Append(c.Context(), crashPartition, partlog.AnyOffset, []byte(record))
		c.Assert(err, qt.IsNil)
	}
	r := start(c, log, "a")
	eventually(c, func() bool { return r.Quarantined("d") })
	c.Assert(log.reads.Load() <= 8, qt.IsTrue, qt.Commentf("%d reads", log.reads.Load()))
}
