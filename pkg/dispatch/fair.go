package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/comfreylink/comfreylink/pkg/target"
)

const (
	// maxDeferrals bounds the items that one round keeps waiting for a full target, and with them the duration of a round.
	// Suspects and first calls of programs do not count: they wait for other reasons and must not block the calls behind
	// them.
	maxDeferrals = 32
)

// fair takes the items in the order of fair sharing and places each at the target with the lowest estimated cost of those that
// it compares.
type fair struct {
	round     uint64
	deferrals int
	deferred  map[*target.Target]int // items kept waiting for a full target in this round
	random    *rand.Rand
	// shuffled and candidates are kept only to save memory allocations.
	shuffled, candidates []*target.Target
}

func (*fair) Name() string { return PolicyFair }

func (f *fair) begin(*Queue) {
	f.round++
	f.deferrals = 0
	clear(f.deferred)
}

func (f *fair) pick(now time.Time, q *Queue) (*entry, *target.Target) {
	for f.deferrals < maxDeferrals && q.hasCapacity(now) {
		first := q.shares.First(now, f.round)
		if first == nil {
			return nil, nil
		}
		e := q.entries[Ticket(first.Ticket)]
		if t := f.chooseTarget(now, q, e); t != nil {
			return e, t
		}
		e.Skip = f.round
		if !q.suspects.has(now, e.item.Fingerprint) && q.margin(e) == 0 {
			f.deferrals++
		}
	}
	return nil, nil
}

// chooseTarget returns the target for an item, or nil if waiting for a full target is expected to cost less. An item waits
// for full targets no longer than it would take to run at the cheapest free one, so waiting at most doubles its time.
func (f *fair) chooseTarget(now time.Time, q *Queue, e *entry) *target.Target {
	var free, full *target.Target
	var freeCost, freeOwn, fullCost float64
	for _, t := range f.compared(now, q, e) {
		if !t.Usable(now) || !q.mayRun(now, e, t) {
			continue
		}
		own, cost := q.cost(now, e, t)
		if q.hasCapacityFor(now, e, t) {
			if free == nil || cost < freeCost {
				free, freeCost, freeOwn = t, cost, own
			}
			continue
		}
		cost += t.WaitSeconds(now, f.deferred[t], q.meanSeconds)
		if full == nil || cost < fullCost {
			full, fullCost = t, cost
		}
	}
	if free == nil || full == nil || freeCost <= fullCost {
		return free
	}
	if e.deferredSince.IsZero() {
		e.deferredSince = now
	}
	if now.Sub(e.deferredSince).Seconds() >= freeOwn {
		return free
	}
	f.deferred[full]++
	return nil
}

// compared returns the targets that are compared for an item: all, or those of Options.CompareConnected and
// Options.CompareOthers.
func (f *fair) compared(now time.Time, q *Queue, e *entry) []*target.Target {
	all := q.targets.All()
	connected, others := q.opt.CompareConnected, q.opt.CompareOthers
	if connected+others == 0 {
		return all
	}
	f.candidates = q.targets.Holders(f.candidates[:0], e.item.Parts)
	f.shuffled = append(f.shuffled[:0], all...)
	for i := range f.shuffled {
		if connected+others == 0 {
			break
		}
		j := i + f.random.IntN(len(f.shuffled)-i)
		f.shuffled[i], f.shuffled[j] = f.shuffled[j], f.shuffled[i]
		t, left := f.shuffled[i], &others
		if t.Connected(now) {
			left = &connected
		}
		if *left > 0 && t.Usable(now) && q.fits(now, e, t) {
			*left--
			f.candidates = append(f.candidates, t)
		}
	}
	return f.candidates
}

// cost estimates the time in seconds that an item takes at a target with free capacity, and the sum of this time and
// the time that other calls lose because of the item.
func (q *Queue) cost(now time.Time, e *entry, t *target.Target) (own, all float64) {
	uncached := float64(e.item.Prompt - q.cached(now, e, t))
	own, others := t.Seconds(now, max(uncached, 0), q.expectedOutput(e.item))
	seconds, _ := q.zoneCost(e, t)
	own += seconds
	return own, own + others
}
