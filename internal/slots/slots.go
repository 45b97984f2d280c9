// Package slots keeps the slots that this instance owns: it opens their streams, holds their folded state, and hands
// them over.
package slots

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/fifo"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/replay"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// Streams opens the journals of the slots' streams.
type Streams interface {
	// Open opens the journal of a slot's stream. Its records are applied to fold.
	Open(s ids.Slot, fold replay.Fold) (j *journal.Journal, cleanup func(), err error)
}

// Lease is the lease under which this instance may act as the owner of its slots.
type Lease interface {
	// LeaseValid reports whether the lease is valid at a time.
	LeaseValid(now time.Time) bool
}

// Config configures Slots.
type Config struct {
	Self         ids.WriterID
	KeyRetention time.Duration
	Streams      Streams
	Lease        Lease
	Logger       *zap.Logger
}

// Slots holds the slots that this instance owns.
type Slots struct {
	Config
	mu      sync.Mutex
	runs    map[ids.Slot]*Run
	stopped bool
	running sync.WaitGroup
}

// New returns Slots without any slot. The returned cleanup gives up all slots without releasing them in the log, and
// waits for their background tasks.
func New(c Config) (o *Slots, cleanup func()) {
	o = &Slots{Config: c, runs: map[ids.Slot]*Run{}}
	return o, o.close
}

func (o *Slots) close() {
	o.mu.Lock()
	o.stopped = true
	for s, r := range o.runs {
		r.cancel()
		delete(o.runs, s)
	}
	o.mu.Unlock()
	o.running.Wait()
}

// Update implements fleet.Slots. It opens the slots that are new and gives up those that are no longer owned or have
// another epoch.
func (o *Slots) Update(owned map[ids.Slot]ids.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	for s, r := range o.runs {
		if owned[s] != r.Epoch {
			o.logGivenUp(r)
			r.cancel()
			delete(o.runs, s)
		}
	}
	for s, e := range owned {
		if o.runs[s] == nil {
			events.Log(o.Logger, events.SlotClaimed, zap.Int("slot", int(s)), zap.Int64("epoch", int64(e)))
			o.runs[s] = o.startSlot(s, e)
		}
	}
}

// logGivenUp logs whether a slot that is given up was released or lost.
func (o *Slots) logGivenUp(r *Run) {
	r.mu.Lock()
	released := r.draining
	r.mu.Unlock()
	event := events.SlotLost
	if released {
		event = events.SlotReleased
	}
	events.Log(o.Logger, event, zap.Int("slot", int(r.Slot)), zap.Int64("epoch", int64(r.Epoch)))
}

// Slot returns an owned slot, or nil if this instance does not own it.
func (o *Slots) Slot(s ids.Slot) *Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[s]
}

// startSlot opens the slot's stream in the background. The slot accepts calls at once and runs them when it is ready.
func (o *Slots) startSlot(s ids.Slot, e ids.Epoch) *Run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{
		Slot:      s,
		Epoch:     e,
		ctx:       ctx,
		cancel:    cancel,
		ready:     make(chan struct{}),
		fold:      program.New(program.Options{KeyRetention: o.KeyRetention}),
		Queues:    fifo.New(),
		ledgers:   map[Program]*turn.Ledger{},
		tokens:    map[Program]countedTokens{},
		executing: map[Key]ids.Fingerprint{},
	}
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		defer cancel()
		if err := o.runSlot(r); err != nil {
			events.Log(o.Logger, events.InternalError, zap.Int("slot", int(s)), zap.Error(err))
		}
	}()
	return r
}

// runSlot reads and writes the slot's stream until the slot is given up.
func (o *Slots) runSlot(r *Run) (err error) {
	j, cleanup, err := o.Streams.Open(r.Slot, r.fold)
	if err != nil {
		return err
	}
	defer cleanup()
	r.journal = j
	g, ctx := errgroup.WithContext(r.ctx)
	g.Go(func() error { return j.Run(ctx) })
	g.Go(func() error { return o.openSlot(ctx, r) })
	return g.Wait()
}

// openedBy reports whether a writer has opened the slot's stream in this epoch. If its open record was appended twice,
// the fold rejects the second one because the epoch is already open.
func (r *Run) openedBy(w ids.WriterID) (opened bool) {
	r.journal.View(func() {
		epoch, owner := r.fold.Epoch()
		opened = epoch == r.Epoch && owner == w
	})
	return opened
}

// openSlot appends the open record that starts the epoch. The fold accepts it only if no later epoch is open.
func (o *Slots) openSlot(ctx context.Context, r *Run) error {
	began := time.Now()
	if err := r.journal.CaughtUp(ctx); err != nil {
		return nil
	}
	open := r.fold.NewOpen(time.Now(), r.Epoch, o.Self)
	rejections, err := r.journal.Append(ctx, open)
	if err != nil {
		return nil
	}
	if rejections[0] != nil && !r.openedBy(o.Self) {
		return fmt.Errorf("open slot %d in epoch %d: %w", r.Slot, r.Epoch, rejections[0])
	}
	close(r.ready)
	events.Log(o.Logger, events.SlotOpened, zap.Int("slot", int(r.Slot)), zap.Int64("epoch", int64(r.Epoch)),
		zap.Duration("duration", time.Since(began)))
	return nil
}

// Drain implements fleet.Slots. It refuses new calls of a slot, waits until the calls in progress have ended, and
// appends the spending of the slot's programs.
func (o *Slots) Drain(ctx context.Context, s ids.Slot) error {
	r := o.Slot(s)
	if r == nil {
		return nil
	}
	r.mu.Lock()
	r.draining = true
	idle := make(chan struct{})
	if r.calls == 0 {
		close(idle)
	} else {
		r.idle = idle
	}
	r.mu.Unlock()
	select {
	case <-idle:
	case <-r.ctx.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.settle(ctx)
}
