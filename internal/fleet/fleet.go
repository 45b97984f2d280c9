// Package fleet claims, keeps and releases slots for this instance. It appends the records that package slot decides on
// from the folded fleet stream, and reports the owners of slots to the other packages.
package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

// decideInterval bounds the delay of a decision that depends only on time.
const decideInterval = 100 * time.Millisecond

// Members is this instance's view of the others.
type Members interface {
	// Live returns the live runs including this one, without those that are leaving.
	Live(now time.Time) []slot.Member
	// NoLogContactSince returns the oldest of the times at or after which the other instances stated that they had no
	// contact with the log; all is false unless each one that is listed or remembered has stated so.
	NoLogContactSince(now time.Time) (since time.Time, all bool)
	// Answers reports whether a run, leaving or not, answers.
	Answers(now time.Time, w ids.WriterID) bool
}

// Slots runs the calls of owned slots.
type Slots interface {
	// Update sets the slots that this instance owns, with their epochs.
	Update(owned map[ids.Slot]ids.Epoch)
	// Drain refuses new calls of a slot with a redirect and blocks until the slot has no call in progress and its budgets
	// are settled.
	Drain(ctx context.Context, s ids.Slot) error
}

// Config configures a Fleet.
type Config struct {
	Self         ids.WriterID
	Journal      *journal.Journal
	Table        *slot.Table
	Lease        time.Duration
	SuspectAfter time.Duration
	Members      Members
	Slots        Slots
	Logger       *zap.Logger
}

// Fleet tracks who owns which slot, and claims and releases slots for this instance. Its methods may be called
// concurrently.
type Fleet struct {
	Config
	reads slot.Reads

	mu            sync.Mutex
	lease         slot.Lease
	contact       contact
	owners        []slot.Ownership // copy of the table's, by slot
	changed       chan struct{}    // closed when owners changes
	pending       map[int]record.Body
	lastPending   int // last key of pending
	draining      map[ids.Slot]ids.Epoch
	drained       map[ids.Slot]ids.Epoch
	lastRebalance time.Time
	started       time.Time
	stopping      bool
	unresponsive  map[ids.WriterID]time.Time // owners that do not answer, and since when
	suspected     map[ids.WriterID]bool      // suspicions that have been logged
}

// New returns a Fleet that makes no decisions until Run is called.
func New(c Config) *Fleet {
	return &Fleet{
		Config:        c,
		owners:        make([]slot.Ownership, c.Table.Count()),
		changed:       make(chan struct{}),
		pending:       map[int]record.Body{},
		draining:      map[ids.Slot]ids.Epoch{},
		drained:       map[ids.Slot]ids.Epoch{},
		lastRebalance: time.Now(),
		unresponsive:  map[ids.WriterID]time.Time{},
	}
}

// Run waits until the journal has caught up. It then makes a decision at each change of the journal, and at least once
// each decideInterval, until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	if err := f.Journal.CaughtUp(ctx); err != nil {
		return nil
	}
	f.started = time.Now()
	f.lastRebalance = f.started
	g, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := f.Journal.Changed()
		f.step(ctx, g, time.Now)
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return g.Wait()
}

// step makes one decision. It reads the clock under the lock, so that the time of the decision is not earlier than that of
// a statement that was made to a peer before.
func (f *Fleet) step(ctx context.Context, g *errgroup.Group, clock func() time.Time) {
	var decided []record.Body
	var drain *ids.Slot
	owned := map[ids.Slot]ids.Epoch{}
	fresh := f.Journal.Fresh()
	f.Journal.View(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := clock()
		f.reads.Observe(now, f.Table)
		f.contact.observe(now, fresh)
		f.logSuspicions(f.reads.Suspicions())
		f.lease.Observe(f.Table, f.Self, fresh)
		f.publish()
		for _, s := range f.Table.Slots(f.Self) {
			owned[s.Slot] = s.Epoch
		}
		view := f.view(now)
		decided = f.Table.Decide(now, view)
		if s, ok := f.Table.Rebalance(now, view); ok && len(f.draining) == 0 {
			f.lastRebalance = now
			drain = &s
		}
		f.appendRecords(ctx, g, decided)
	})
	f.Slots.Update(owned)
	if drain != nil {
		f.startDrain(ctx, g, *drain, owned[*drain])
	}
}

// publish copies the table's owners for readers that do not hold the journal's lock, and notifies them of a change.
func (f *Fleet) publish() {
	changed := false
	for i := range f.owners {
		o := f.Table.Owner(ids.Slot(i))
		if o != f.owners[i] {
			f.owners[i] = o
			changed = true
		}
	}
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	for s, e := range f.drained {
		if !f.owners[s].HeldBy(f.Self, e) {
			delete(f.drained, s)
		}
	}
}

func (f *Fleet) view(now time.Time) slot.View {
	v := slot.View{
		Self:          f.Self,
		Live:          f.Members.Live(now),
		Unresponsive:  f.unresponsiveRuns(now),
		Suspicions:    f.contact.delaySuspicions(now, f.reads.Suspicions()),
		Releases:      f.reads.Releases(),
		Lease:         f.Lease,
		SuspectAfter:  f.SuspectAfter,
		Stopping:      f.stopping,
		Started:       f.started,
		LastRebalance: f.lastRebalance,
	}
	for s := range f.drained {
		v.Drained = append(v.Drained, s)
	}
	for _, b := range f.pending {
		v.Pending = append(v.Pending, b)
	}
	return v
}

// unresponsiveRuns returns the owners that do not answer, and since when. An owner whose instance has restarted with
// another writer id never answers again.
func (f *Fleet) unresponsiveRuns(now time.Time) (unresponsive []slot.UnresponsiveRun) {
	since := map[ids.WriterID]time.Time{}
	for _, o := range f.owners {
		if o.Owner == "" || o.Released || o.Owner == f.Self || f.Members.Answers(now, o.Owner) {
			continue
		}
		if _, seen := since[o.Owner]; seen {
			continue
		}
		since[o.Owner] = now
		if earlier, ok := f.unresponsive[o.Owner]; ok {
			since[o.Owner] = earlier
		}
		unresponsive = append(unresponsive, slot.UnresponsiveRun{Writer: o.Owner, Since: since[o.Owner]})
	}
	f.unresponsive = since
	return unresponsive
}

// appendRecords appends each record in its own goroutine, so that a log outage does not delay later decisions. A record is
// pending until its append returns. The lock is held.
func (f *Fleet) appendRecords(ctx context.Context, g *errgroup.Group, decided []record.Body) {
	for _, b := range decided {
		f.lastPending++
		id := f.lastPending
		f.pending[id] = b
		g.Go(func() error {
			_, err := f.Journal.Append(ctx, b)
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.pending, id)
			if err != nil && ctx.Err() == nil {
				f.Logger.Debug("could not append to the fleet stream", zap.String("type", string(b.Type())), zap.Error(err))
			}
			return nil
		})
	}
}

// startDrain drains a slot in the background. A later decision releases it.
func (f *Fleet) startDrain(ctx context.Context, g *errgroup.Group, s ids.Slot, e ids.Epoch) {
	f.mu.Lock()
	f.draining[s] = e
	f.mu.Unlock()
	g.Go(func() error {
		err := f.Slots.Drain(ctx, s)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.draining, s)
		if err == nil {
			f.drained[s] = e
		}
		return nil
	})
}

// Owner returns the owner of a slot, its epoch, and a channel that is closed when any ownership changes. The owner is
// empty if the slot was released or never claimed.
func (f *Fleet) Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.owners[s]
	if o.Released {
		return "", o.Epoch, f.changed
	}
	return o.Owner, o.Epoch, f.changed
}

// LeaseValid reports whether this instance may consider itself the owner of its slots. It may if it has read the fleet
// stream within the lease, or if every peer has stated within the lease that it has no contact with the log either, so
// that none of them can have claimed a slot.
func (f *Fleet) LeaseValid(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lease.Valid(now, f.Lease) {
		return true
	}
	since, all := f.Members.NoLogContactSince(now)
	return all && f.lease.EverValid() && slot.LeaseValid(now, since, f.Lease)
}

// DeclareNoLogContact reports whether this instance may state to peers that it has no contact with the log. Once it has
// returned true, the instance waits for a lease after it regains contact before it claims a slot of a suspected owner.
// DeclareNoLogContact returns false while such a claim is being appended, because the claim may be in the log already or
// reach it as soon as the log accepts appends.
func (f *Fleet) DeclareNoLogContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.pending {
		if c, ok := b.(*record.Claim); ok && c.SuspectedAt != nil {
			return false
		}
	}
	return f.contact.declareLost(time.Now())
}

// Quarantined reports whether two targets died while they ran a request.
func (f *Fleet) Quarantined(ws ids.WorkspaceID, p ids.Fingerprint) (quarantined bool) {
	f.Journal.View(func() { quarantined = f.Table.Quarantined(ws, p) })
	return quarantined
}

// Suspected reports whether at least one target died while it ran a request.
func (f *Fleet) Suspected(ws ids.WorkspaceID, p ids.Fingerprint) (suspected bool) {
	f.Journal.View(func() { suspected = f.Table.RequestSuspected(ws, p) })
	return suspected
}

// Release drains and releases all slots of this instance. It returns when the folded stream shows that it owns none, or
// when ctx ends.
func (f *Fleet) Release(ctx context.Context) error {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for {
		changed := f.Journal.Changed()
		owned := f.owned()
		if len(owned) == 0 {
			break
		}
		for s, e := range owned {
			f.mu.Lock()
			_, busy := f.draining[s]
			_, done := f.drained[s]
			f.mu.Unlock()
			if !busy && !done {
				f.startDrain(ctx, g, s, e)
			}
		}
		select {
		case <-changed:
		case <-time.After(decideInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return g.Wait()
}

func (f *Fleet) owned() map[ids.Slot]ids.Epoch {
	f.mu.Lock()
	defer f.mu.Unlock()
	owned := map[ids.Slot]ids.Epoch{}
	for i, o := range f.owners {
		if o.HeldBy(f.Self, o.Epoch) {
			owned[ids.Slot(i)] = o.Epoch
		}
	}
	return owned
}

// Status describes the ownership for a dump.
type Status struct {
	Self     ids.WriterID         `json:"self"`
	Lease    bool                 `json:"leaseValid"`
	Owned    []ids.Slot           `json:"owned"`
	Owners   map[ids.WriterID]int `json:"slotsByOwner"`
	Draining []ids.Slot           `json:"draining,omitempty"`
	Suspects []slot.Suspicion     `json:"suspicions,omitempty"`
	Stopping bool                 `json:"stopping,omitempty"`
	Pending  int                  `json:"pendingRecords"`
	Journal  journal.Status       `json:"journal"`
}

// Status returns the current state.
func (f *Fleet) Status(now time.Time) Status {
	s := Status{Self: f.Self, Lease: f.LeaseValid(now), Owners: map[ids.WriterID]int{}, Journal: f.Journal.Status()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.owners {
		if o.Released || o.Owner == "" {
			continue
		}
		s.Owners[o.Owner]++
		if o.Owner == f.Self {
			s.Owned = append(s.Owned, ids.Slot(i))
		}
	}
	for d := range f.draining {
		s.Draining = append(s.Draining, d)
	}
	s.Stopping, s.Pending = f.stopping, len(f.pending)
	return s
}
