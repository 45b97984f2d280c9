package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/settings"
)

// Guards against bodies of restricted requests that reach an instance in another region because it calls the log for this one,
// and against a restriction of calls that hold no bodies.
func TestBodiesStayInTheirRegions(t *testing.T) {
	c := qt.New(t)
	source := follower.Source{
		Log: evacuationLog{}, Config: partlog.Partition{Topic: "c"}, ConfigKey: "z1",
		DecodeConfig: func([]byte) (call.Config, error) {
			return call.Config{Version: 1, Workspaces: []call.Workspace{{ID: "a"}, {ID: "b", Regions: []string{"eu"}}}}, nil
		},
	}
	bounds := settings.Bounds{Revoke: time.Second, Removal: time.Second}
	g := &Gateway{Config: Config{Logger: zap.NewNop(), Source: source, Settings: settings.Gateway{Zones: settings.Zones{"z1": "eu", "z2": "us"}}}}
	g.follower = follower.New(source, bounds, zap.NewNop(), time.Now, func(time.Time) {})
	turns := partlog.Partition{Topic: "programs-03", Part: 1}
	c.Assert(g.MayPassOn(turns, relay.Peer{Zone: "z1"}), qt.IsFalse, qt.Commentf("the restrictions are not known yet"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = g.follower.FollowConfig(ctx) }()
	for last := time.Now().Add(5 * time.Second); g.follower.Table() == nil; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(last), qt.IsTrue)
	}
	c.Assert(g.MayPassOn(turns, relay.Peer{Zone: "z1"}), qt.IsTrue)
	c.Assert(g.MayPassOn(turns, relay.Peer{Zone: "z2"}), qt.IsFalse)
	c.Assert(g.MayPassOn(turns, relay.Peer{Zone: "z9"}), qt.IsFalse)
	c.Assert(g.MayPassOn(source.Config, relay.Peer{Zone: "z2"}), qt.IsTrue)
	c.Assert(g.MayPassOn(partlog.Partition{Topic: "reports"}, relay.Peer{Zone: "z2"}), qt.IsTrue)
}
