package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Guards against a limit of a cold target that allows more in a second than the target is known to survive, that is divided
// into parts, or that never grants.
func TestColdLimit(t *testing.T) {
	const tokenTTL = 0.3
	for _, perSecond := range []float64{0.1, 0.5, 1, 2, 5, 10, 15, 27, 100, 1000} {
		l := quota.ColdLimit(perSecond)
		most := l.Rate*(1+tokenTTL) + l.Burst + quota.Parts
		qt.Check(t, most <= perSecond*1.5+5+1e-9, qt.IsTrue, qt.Commentf("%v a second: %v", perSecond, most))
		qt.Check(t, l.Burst >= 1, qt.IsTrue)
		limiter := quota.New(quota.NewLeases(start, quota.Run{}))
		limiter.Configure(start, map[ids.WorkspaceID]quota.Limit{"w": l})
		qt.Check(t, limiter.PartsOf("w"), qt.Equals, 1)
	}
}

// Guards against an owner that has not read the entry of a cold target yet and grants any number of requests, as it does for
// workspaces without a limit.
func TestUnknownColdTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	limiter := newOwner(quota.Limit{Rate: 1, Burst: 1})
	name := quota.ColdName("t", 1)
	c.Assert(quota.IsCold(name), qt.IsTrue)
	c.Assert(quota.IsCold("w"), qt.IsFalse)
	c.Assert(name == quota.ColdName("t", 2), qt.IsFalse, qt.Commentf("each run of a target has its own limit"))
	g, owned := limiter.Grant(start.Add(time.Second), quota.Ask{Workspace: name})
	c.Assert(owned, qt.IsTrue)
	c.Assert(g.Tokens, qt.Equals, 0)
	c.Assert(g.Retry > 0, qt.IsTrue)
}
