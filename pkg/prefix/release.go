package prefix

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Release is a request to a target to drop a cached prefix.
type Release struct {
	Target ids.TargetID
	Prefix target.PrefixKey
}

func compare(a, b Release) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Prefix, b.Prefix))
}

// Holds tracks until when targets keep the prefixes of paused programs.
type Holds struct{ until map[Release]time.Time }

// NewHolds returns an empty set.
func NewHolds() *Holds { return &Holds{until: make(map[Release]time.Time)} }

// Keep sets the time until which a target keeps a prefix.
func (h *Holds) Keep(r Release, until time.Time) { h.until[r] = until }

// Resume removes the hold on a prefix whose program continues.
func (h *Holds) Resume(r Release) { delete(h.until, r) }

// Due removes the holds that have expired and returns the releases of their prefixes.
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

// Liveness is what is known about the program that a prefix belongs to.
type Liveness int

// Values of Liveness.
const (
	// Unknown: the owner of the program's slot did not answer. Nothing is released.
	Unknown Liveness = iota
	// Alive: the program exists.
	Alive
	// Ended: the owner does not know the program.
	Ended
)

// Reconciler finds cached prefixes of programs that no longer exist and whose release at the program's end was lost.
type Reconciler struct {
	grace time.Duration
	ended map[Release]time.Time // when a prefix was first listed although its program has ended
}

// NewReconciler returns a reconciler. The grace time must exceed the time from a program's first call until its owner
// knows the program, because a target can list a prefix before its program's first turn is recorded.
func NewReconciler(grace time.Duration) *Reconciler {
	return &Reconciler{grace: grace, ended: make(map[Release]time.Time)}
}

// Reconcile takes the list of prefixes that a target caches and returns releases of those that have been in every list, with
// their program ended, for at least the grace time. A release that had no effect is returned again for the next list.
func (r *Reconciler) Reconcile(now time.Time, id ids.TargetID, cached []target.PrefixKey, liveness func(target.PrefixKey) Liveness) (l []Release) {
	seen := make(map[target.PrefixKey]bool, len(cached))
	for _, key := range cached {
		seen[key] = true
		rel := Release{Target: id, Prefix: key}
		switch liveness(key) {
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

// Forget drops the state of a target that no longer exists.
func (r *Reconciler) Forget(id ids.TargetID) {
	for rel := range r.ended {
		if rel.Target == id {
			delete(r.ended, rel)
		}
	}
}
