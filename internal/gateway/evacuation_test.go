package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// evacuationLog is a log in which one zone is evacuated. It can be read once.
type evacuationLog struct{ partlog.Log }

func (evacuationLog) Newest(context.Context, partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	return []partlog.Entry{{Key: "z1", Value: []byte("{}")}}, 1, nil
}

func (evacuationLog) Read(ctx context.Context, _ partlog.Partition, _ ids.Offset, _ time.Duration) (partlog.Page, error) {
	<-ctx.Done()
	return partlog.Page{}, ctx.Err()
}

// Guards against a request that is written to a target in a zone which was evacuated while its connection was being opened, and
// against an instance that sends although its last read of the evacuations is too old to know.
func TestTargetIsCheckedBeforeItIsWrittenTo(t *testing.T) {
	c := qt.New(t)
	clock := boottime.New()
	bounds := settings.Bounds{Revoke: time.Second, Removal: time.Second, Evacuate: time.Second}
	g := &Gateway{Config: Config{Clock: clock, Logger: zap.NewNop(), Settings: settings.Gateway{Bounds: bounds}}}
	g.follower = follower.New(follower.Source{
		Log: evacuationLog{},
		DecodeEvacuation: func(key string, _ []byte) (ids.Zone, bool, error) {
			return ids.Zone(key), true, nil
		},
	}, bounds, zap.NewNop(), clock.Now, func(time.Time) {})
	e := &exchange{Gateway: g}
	c.Assert(e.targetWithdrawn(call.Target{Zone: "z1"}), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = g.follower.FollowConfig(ctx) }()
	for last := time.Now().Add(5 * time.Second); !g.follower.Evacuated("z1"); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(last), qt.IsTrue)
	}
	res := e.targetWithdrawn(call.Target{Zone: "z1"})
	c.Assert(res, qt.IsNotNil)
	c.Assert(res.reason, qt.Equals, "zoneEvacuated")
	c.Assert(res.retryable, qt.IsTrue)
	c.Assert(res.refusal.status, qt.Equals, 503)
	c.Assert(e.targetWithdrawn(call.Target{Zone: "z2"}), qt.IsNil)
	time.Sleep(bounds.Evacuate - freshMargin + 50*time.Millisecond)
	res = e.targetWithdrawn(call.Target{Zone: "z2"})
	c.Assert(res, qt.IsNotNil)
	c.Assert(res.refusal.code, qt.Equals, codeStale)
}

// Guards against a zone that is reported to be empty while requests run there, and against one that is never reported or is
// reported again and again.
func TestZoneIsReportedEmptyOnce(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	z := newZoneUse()
	z.begin("z1")
	z.begin("z1")
	z.end("z1")
	zones := []ids.Zone{"z1"}
	c.Assert(z.newlyEmpty(start, zones), qt.HasLen, 0)
	z.end("z1")
	c.Assert(z.newlyEmpty(start.Add(time.Second), zones), qt.DeepEquals, map[ids.Zone]time.Duration{"z1": time.Second})
	c.Assert(z.newlyEmpty(start.Add(2*time.Second), zones), qt.HasLen, 0)
	c.Assert(z.newlyEmpty(start.Add(3*time.Second), nil), qt.HasLen, 0)
	c.Assert(z.newlyEmpty(start.Add(4*time.Second), zones), qt.HasLen, 1, qt.Commentf("it was evacuated again"))
}
