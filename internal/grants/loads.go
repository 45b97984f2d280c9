package grants

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Loads is what an instance knows of the targets' loads.
type Loads interface {
	LoadObservations(now time.Time) []waitqueue.LoadObservation
	MergeLoadObservations(now time.Time, list []waitqueue.LoadObservation)
}

// loads are sightings as instances tell them to each other: the calls at a target, and how many milliseconds ago.
type loads map[ids.TargetID][2]int

// tell returns what is new to others.
func (g *Grantor) tell() loads {
	if g.Loads == nil {
		return nil
	}
	now := g.Now()
	list := g.Loads.LoadObservations(now)
	l := make(loads, len(list))
	for _, x := range list {
		l[x.Target] = [2]int{x.Calls, int(now.Sub(x.At).Milliseconds())}
	}
	return l
}

// hear takes over what another instance told. Clocks differ, so that only ages are told.
func (g *Grantor) hear(l loads) {
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
