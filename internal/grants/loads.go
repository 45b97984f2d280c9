package grants

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Loads holds an instance's load observations.
type Loads interface {
	LoadObservations(now time.Time) []waitqueue.LoadObservation
	MergeLoadObservations(now time.Time, list []waitqueue.LoadObservation)
}

// wireLoads is the encoding of load observations between instances: the number of calls at a target, and the age of the
// observation in milliseconds.
type wireLoads map[ids.TargetID][2]int

// ownLoads returns the load observations to send to another instance.
func (g *RateLimiter) ownLoads() wireLoads {
	if g.Loads == nil {
		return nil
	}
	now := g.Now()
	list := g.Loads.LoadObservations(now)
	l := make(wireLoads, len(list))
	for _, x := range list {
		l[x.Target] = [2]int{x.Calls, int(now.Sub(x.At).Milliseconds())}
	}
	return l
}

// applyLoads merges load observations that another instance sent. They carry ages instead of times because clocks differ.
func (g *RateLimiter) applyLoads(l wireLoads) {
	if len(l) == 0 || g.Loads == nil {
		return
	}
	now := g.Now()
	list := make([]waitqueue.LoadObservation, 0, len(l))
	for id, x := range l {
		list = append(list, waitqueue.LoadObservation{Target: id, Calls: max(x[0], 0), At: now.Add(-time.Duration(max(x[1], 0)) * time.Millisecond)})
	}
	g.Loads.MergeLoadObservations(now, list)
}
