package prefix

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Release tells a target to drop a cached prefix.
type Release struct {
	Target ids.TargetID
	Prefix target.PrefixKey
}

func compare(a, b Release) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Prefix, b.Prefix))
}

// Holds keeps the times until which prefixes of pausing programs are kept.
type Holds struct{ until map[Release]time.Time }

// NewHolds returns an empty set.
func NewHolds() *Holds { return &Holds{until: make(map[Release]time.Time)} }

// Keep sets the time until which a target keeps a prefix.
func (h *Holds) Keep(r Release, until time.Time) { h.until[r] = until }

// Resume ends the hold of a program that goes on.
func (h *Holds) Resume(r Release) { delete(h.until, r) }

// Due returns the prefixes whose time is over and forgets them.
func (h *Holds) Due(now time.Time) (due []Release) {
	for r, until := range h.until {
		if !until.After(now) {
			due = append(due, r)
			delete(h.until, r)
		}
	}
	slices.SortFunc(due, compare)
	return due
}

// Liveness is what is known of the program that a prefix belongs to.
type Liveness int

// Lives of programs.
const (
	// Unknown: the owner of the program's slot did not answer. Nothing is released.
	Unknown Liveness = iota
	// Alive: the program exists.
	Alive
	// Ended: the owner does not know the program.
	Ended
)

// Reconciler finds cached prefixes of programs that no longer exist, where the release at their end was lost.
type Reconciler struct {
	grace time.Duration
	ended map[Release]time.Time // since when it was found without a program
}

// NewReconciler returns a reconciler. The grace time must exceed the time from a program's first call until its owner
// knows it, because a list can hold a prefix whose first turn is not recorded yet.
func NewReconciler(grace time.Duration) *Reconciler {
	return &Reconciler{grace: grace, ended: make(map[Release]time.Time)}
}

// Reconcile takes one target's cache list and returns what it must drop: prefixes found without a program in every list
// for at least the grace time. A release that has no effect is repeated at the next list.
func (r *Reconciler) Reconcile(now time.Time, id ids.TargetID, cached []target.PrefixKey, life func(target.PrefixKey) Liveness) (l []Release) {
	seen := make(map[target.PrefixKey]bool, len(cached))
	for _, key := range cached {
		seen[key] = true
		rel := Release{Target: id, Prefix: key}
		switch life(key) {
		case Alive:
			delete(r.ended, rel)
		case Ended:
			since, ok := r.ended[rel]
			if !ok {
				r.ended[rel] = now
			} else if now.Sub(since) >= r.grace {
				l = append(l, rel)
			}
		}
	}
	for rel := range r.ended {
		if rel.Target == id && !seen[rel.Prefix] {
			delete(r.ended, rel)
		}
	}
	slices.SortFunc(l, compare)
	return l
}

// Forget drops what is noted about a target that is gone.
func (r *Reconciler) Forget(id ids.TargetID) {
	for rel := range r.ended {
		if rel.Target == id {
			delete(r.ended, rel)
		}
	}
}
