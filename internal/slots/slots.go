// Package slots keeps the slots that this instance owns: it opens their streams, holds their folded state, and hands them
// over.
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

// Streams opens the journal of a slot's stream.
type Streams interface {
	Open(s ids.Slot, fold replay.Fold) (j *journal.Journal, cleanup func(), err error)
}

// Lease tells whether this instance may act as the owner of its slots.
type Lease interface {
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

// Slots holds the runs of the owned slots.
type Slots struct {
	Config
	mu      sync.Mutex
	runs    map[ids.Slot]*Run
	stopped bool
	running sync.WaitGroup
}

// New returns an empty set. The returned cleanup gives up all slots without releasing them in the log, and waits for
// their tasks.
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

// Update implements fleet.Slots: it opens the slots that are new and drops those that are gone or have another epoch.
func (o *Slots) Update(owned map[ids.Slot]ids.Epoch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return
	}
	for s, r := range o.runs {
		if owned[s] != r.Epoch {
			o.dropped(r)
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

// dropped logs how a slot was given up.
func (o *Slots) dropped(r *Run) {
	r.mu.Lock()
	released := r.draining
	r.mu.Unlock()
	event := events.SlotLost
	if released {
		event = events.SlotReleased
	}
	events.Log(o.Logger, event, zap.Int("slot", int(r.Slot)), zap.Int64("epoch", int64(r.Epoch)))
}

// Slot returns the run of an owned slot, or nil.
func (o *Slots) Slot(s ids.Slot) *Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[s]
}

// startSlot opens the slot's stream in the background; the slot takes calls at once and runs them when it is ready.
func (o *Slots) startSlot(s ids.Slot, e ids.Epoch) *Run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{
		Slot:      s,
		Epoch:     e,
		ctx:       ctx,
		cancel:    cancel,
		ready:     make(chan struct{}),
		fold:      program.New(program.Options{KeyRetention: o.KeyRetention}),
		Lines:     fifo.New(),
		ledgers:   map[Program]*turn.Ledger{},
		tokens:    map[Program]knownTokens{},
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

// openedBy reports whether the slot's stream is open in this epoch for a writer. A record that was appended twice counts
// once, and the copy's verdict says that the epoch is open already.
func (r *Run) openedBy(w ids.WriterID) (opened bool) {
	r.journal.View(func() {
		epoch, owner := r.fold.Epoch()
		opened = epoch == r.Epoch && owner == w
	})
	return opened
}

// openSlot appends the open record that starts the epoch. It counts only if no later epoch was opened.
func (o *Slots) openSlot(ctx context.Context, r *Run) error {
	began := time.Now()
	if err := r.journal.CaughtUp(ctx); err != nil {
		return nil
	}
	open := r.fold.NewOpen(time.Now(), r.Epoch, o.Self)
	verdicts, err := r.journal.Append(ctx, open)
	if err != nil {
		return nil
	}
	if verdicts[0] != nil && !r.openedBy(o.Self) {
		return fmt.Errorf("open slot %d in epoch %d: %w", r.Slot, r.Epoch, verdicts[0])
	}
	close(r.ready)
	events.Log(o.Logger, events.SlotOpened, zap.Int("slot", int(r.Slot)), zap.Int64("epoch", int64(r.Epoch)),
		zap.Duration("duration", time.Since(began)))
	return nil
}

// Drain implements fleet.Slots.
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
