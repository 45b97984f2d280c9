package grants

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Loads holds an instance's load observations.
type Loads interface {
	LoadObservations(now time.Time) []waitqueue.LoadObservation
	MergeLoadObservations(now time.Time, list []waitqueue.LoadObservation)
}

// wireLoads is the encoding of load observations between instances: the number of calls at a target, the age of the
// observation in milliseconds, the reported work time in percent of the usual one and its age in milliseconds. The last two
// are 0 or missing if the work time is unknown. Instances of versions without them ignore them.
type wireLoads map[ids.TargetID][4]int

// usualPercent is the encoding of the usual work time.
const usualPercent = 100

// ownLoads returns the load observations to send to another instance.
func (g *RateLimiter) ownLoads() wireLoads {
	if g.Loads == nil {
		return nil
	}
	now := g.Now()
	list := g.Loads.LoadObservations(now)
	l := make(wireLoads, len(list))
	for _, x := range list {
		l[x.Target] = [4]int{x.Calls, int(now.Sub(x.At).Milliseconds())}
		if x.WorkTime > 0 {
			l[x.Target] = [4]int{x.Calls, int(now.Sub(x.At).Milliseconds()), int(math.Round(x.WorkTime * usualPercent)), int(now.Sub(x.WorkAt).Milliseconds())}
		}
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
	ago := func(ms int) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
	for id, x := range l {
		list = append(list, waitqueue.LoadObservation{
			Target: id, Calls: max(x[0], 0), At: ago(x[1]), WorkTime: float64(max(x[2], 0)) / usualPercent, WorkAt: ago(x[3]),
		})
	}
	g.Loads.MergeLoadObservations(now, list)
}
