// Package fleet follows the fleet stream: it claims, keeps and releases slots for this instance and tells the other
// packages who owns what.
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

// decideInterval bounds how late a decision that depends on time alone is taken.
const decideInterval = 100 * time.Millisecond

// Members is this instance's view of the others.
type Members interface {
	// Live returns the live runs with this one, without those that are leaving.
	Live(now time.Time) []slot.Member
	// LogLostSince returns the earliest of the times at or after which the others had no contact with the log, if each
	// one that is listed or answers has said so.
	LogLostSince(now time.Time) (since time.Time, all bool)
	// Answers reports whether a run, leaving or not, answers.
	Answers(now time.Time, w ids.WriterID) bool
}

// Slots runs the calls of owned slots.
type Slots interface {
	// Update tells which slots this instance owns, with their epochs.
	Update(owned map[ids.Slot]ids.Epoch)
	// Drain refuses new calls of a slot with a redirect and waits until it has no call in progress and its budgets are
	// settled.
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

// Fleet is the instance's part in the ownership of slots.
type Fleet struct {
	Config
	reads slot.Reads

	mu        sync.Mutex
	lease     slot.Lease
	contact   contact
	owners    []slot.Ownership
	changed   chan struct{}
	pending   map[int]record.Body
	next      int
	draining  map[ids.Slot]ids.Epoch
	drained   map[ids.Slot]ids.Epoch
	rebalance time.Time
	started   time.Time
	stopping  bool
	silent    map[ids.WriterID]time.Time
	suspected map[ids.WriterID]bool
}

// New returns a fleet; Run makes it work.
func New(c Config) *Fleet {
	return &Fleet{
		Config:    c,
		owners:    make([]slot.Ownership, c.Table.Count()),
		changed:   make(chan struct{}),
		pending:   map[int]record.Body{},
		draining:  map[ids.Slot]ids.Epoch{},
		drained:   map[ids.Slot]ids.Epoch{},
		rebalance: time.Now(),
		silent:    map[ids.WriterID]time.Time{},
	}
}

// Run decides until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	if err := f.Journal.CaughtUp(ctx); err != nil {
		return nil
	}
	f.started = time.Now()
	f.rebalance = f.started
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

// step decides once. It asks for the time under the lock, so that a statement made to a peer before the decision is not
// later than the decision's time.
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
			f.rebalance = now
			drain = &s
		}
		f.markPending(ctx, g, decided)
	})
	f.Slots.Update(owned)
	if drain != nil {
		f.startDrain(ctx, g, *drain, owned[*drain])
	}
}

// publish makes the table's owners visible to readers that do not hold the journal.
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
		if !f.owners[s].Held(f.Self, e) {
			delete(f.drained, s)
		}
	}
}

func (f *Fleet) view(now time.Time) slot.View {
	v := slot.View{
		Self:          f.Self,
		Live:          f.Members.Live(now),
		Silent:        f.silence(now),
		Suspicions:    f.contact.delay(now, f.reads.Suspicions()),
		Releases:      f.reads.Releases(),
		Lease:         f.Lease,
		SuspectAfter:  f.SuspectAfter,
		Stopping:      f.stopping,
		Started:       f.started,
		LastRebalance: f.rebalance,
	}
	for s := range f.drained {
		v.Drained = append(v.Drained, s)
	}
	for _, b := range f.pending {
		v.Pending = append(v.Pending, b)
	}
	return v
}

// silence returns the owners that do not answer, with the time since when. An owner whose instance has restarted under
// another writer id never answers again.
func (f *Fleet) silence(now time.Time) (silent []slot.Silence) {
	since := map[ids.WriterID]time.Time{}
	for _, o := range f.owners {
		if o.Owner == "" || o.Released || o.Owner == f.Self || f.Members.Answers(now, o.Owner) {
			continue
		}
		if _, noted := since[o.Owner]; noted {
			continue
		}
		since[o.Owner] = now
		if earlier, ok := f.silent[o.Owner]; ok {
			since[o.Owner] = earlier
		}
		silent = append(silent, slot.Silence{Writer: o.Owner, Since: since[o.Owner]})
	}
	f.silent = since
	return silent
}

// markPending appends each record in a goroutine of its own, so that a log outage does not delay later decisions.
func (f *Fleet) markPending(ctx context.Context, g *errgroup.Group, decided []record.Body) {
	for _, b := range decided {
		f.next++
		id := f.next
		f.pending[id] = b
		g.Go(func() error {
			_, err := f.Journal.Append(ctx, b)
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.pending, id)
			if err != nil && ctx.Err() == nil {
				f.Logger.Debug("append to the fleet stream", zap.String("type", string(b.Type())), zap.Error(err))
			}
			return nil
		})
	}
}

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

// LeaseValid reports whether this instance may consider itself the owner of its slots: it has read the fleet stream
// within the lease, or every peer has said within the lease that it has no contact with the log either, so that none of
// them can have claimed a slot.
func (f *Fleet) LeaseValid(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lease.Valid(now, f.Lease) {
		return true
	}
	since, all := f.Members.LogLostSince(now)
	return all && f.lease.Known() && slot.LeaseValid(now, since, f.Lease)
}

// LogLost reports whether this instance may tell peers that it has no contact with the log. From then on it waits a
// lease after it regains contact before it takes over a slot. It may not while such a claim is under way: the claim may
// be in the log already, or get there as soon as the log takes appends.
func (f *Fleet) LogLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.pending {
		if c, ok := b.(*record.Claim); ok && c.SuspectedAt != nil {
			return false
		}
	}
	return f.contact.state(time.Now())
}

// Quarantined reports whether a request was running at two targets when they died.
func (f *Fleet) Quarantined(ws ids.WorkspaceID, p ids.Fingerprint) (quarantined bool) {
	f.Journal.View(func() { quarantined = f.Table.Quarantined(ws, p) })
	return quarantined
}

// Suspected reports whether a target died while it ran a request.
func (f *Fleet) Suspected(ws ids.WorkspaceID, p ids.Fingerprint) (suspected bool) {
	f.Journal.View(func() { suspected = f.Table.RequestSuspected(ws, p) })
	return suspected
}

// Release drains and releases all slots of this instance and returns when the log shows it, or ctx ends.
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
		if o.Held(f.Self, o.Epoch) {
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

// Status returns the present state.
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
