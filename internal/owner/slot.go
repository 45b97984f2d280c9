package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// slotRun is one epoch of an owned slot.
type slotRun struct {
	slot  ids.Slot
	epoch ids.Epoch
	// ctx ends when the slot is lost or the instance stops.
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{}
	journal *journal.Journal
	fold    *program.Slot
	lines   *fifo

	mu       sync.Mutex
	calls    int
	draining bool
	idle     chan struct{}
	ledgers  map[programKey]*turn.Ledger
	tokens   map[programKey]knownTokens
}

type programKey struct {
	workspace ids.WorkspaceID
	program   ids.ProgramID
}

// knownTokens is the number of tokens that a target counted for a program's first messages.
type knownTokens struct {
	messages int
	tokens   ids.Tokens
}

// startSlot opens the slot's stream in the background; the slot takes calls at once and runs them when it is ready.
func (o *Owner) startSlot(s ids.Slot, e ids.Epoch) *slotRun {
	ctx, cancel := context.WithCancel(context.Background())
	r := &slotRun{
		slot:    s,
		epoch:   e,
		ctx:     ctx,
		cancel:  cancel,
		ready:   make(chan struct{}),
		fold:    program.New(program.Options{KeyRetention: o.KeyRetention}),
		lines:   newFIFO(),
		ledgers: map[programKey]*turn.Ledger{},
		tokens:  map[programKey]knownTokens{},
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

func (o *Owner) runSlot(r *slotRun) (err error) {
	j, cleanup, err := o.Streams.Open(r.slot, r.fold)
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

// openSlot appends the open record that starts the epoch. It counts only if no later epoch was opened.
func (o *Owner) openSlot(ctx context.Context, r *slotRun) error {
	if err := r.journal.CaughtUp(ctx); err != nil {
		return nil
	}
	open := r.fold.NewOpen(time.Now(), r.epoch, o.Self)
	verdicts, err := r.journal.Append(ctx, open)
	if err != nil {
		return nil
	}
	if verdicts[0] != nil {
		return fmt.Errorf("open slot %d in epoch %d: %w", r.slot, r.epoch, verdicts[0])
	}
	close(r.ready)
	events.Log(o.Logger, events.SlotOpened, zap.Int("slot", int(r.slot)), zap.Int64("epoch", int64(r.epoch)))
	return nil
}

// enter counts a call in; it reports false if the slot is being handed over.
func (r *slotRun) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.ctx.Err() != nil {
		return false
	}
	r.calls++
	return true
}

func (r *slotRun) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
	if r.calls == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Drain implements fleet.Slots.
func (o *Owner) Drain(ctx context.Context, s ids.Slot) error {
	r := o.slot(s)
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

// settle states the exact spending of every program, so that the next owner need not count reservations as spent.
func (r *slotRun) settle(ctx context.Context) error {
	if !r.open() {
		return nil
	}
	r.mu.Lock()
	var bodies []record.Body
	for k, l := range r.ledgers {
		if spent, ok := l.Close(); ok {
			bodies = append(bodies, &record.Settle{Epoch: r.epoch, Workspace: k.workspace, Program: k.program, Spent: spent})
		}
	}
	r.mu.Unlock()
	if len(bodies) == 0 {
		return nil
	}
	_, err := r.journal.Append(ctx, bodies...)
	return err
}

// append appends one record and returns its verdict, or an error if the verdict is not known.
func (r *slotRun) append(ctx context.Context, b record.Body) (verdict, err error) {
	verdicts, err := r.journal.Append(ctx, b)
	if err != nil {
		return nil, err
	}
	return verdicts[0], nil
}

// ended explains why ctx ended: the slot was lost, so that another owner answers, or the deadline passed.
func (r *slotRun) ended(ctx context.Context, c peer.Call, run peer.RunState) peer.Result {
	if r.ctx.Err() != nil {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.epoch}}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
		return refused(c, peer.CodeDeadline, run, "the deadline passed")
	}
	return refused(c, peer.CodeStopping, run, "the instance is stopping")
}

// notAppended explains why a record could not be appended.
func (r *slotRun) notAppended(c peer.Call, run peer.RunState, verdict, err error) peer.Result {
	if r.ctx.Err() != nil || verdict != nil && run == peer.NotRun {
		return peer.Result{Redirect: &peer.Redirect{Epoch: r.epoch}}
	}
	if verdict != nil {
		return refused(c, peer.CodeOwnerUnavailable, run, "the slot has another owner: "+verdict.Error())
	}
	return retryLater(refused(c, peer.CodeLogUnavailable, run, "the log did not take a record in time: "+err.Error()), time.Second)
}

const (
	// logLostAfter is the age of the last up-to-date read of the slot's stream at which new model calls wait.
	logLostAfter = 3 * time.Second
	logPoll      = 50 * time.Millisecond
)

// awaitLog waits until the slot's stream is readable. A model call that is sent while it is not ends with an unknown
// run state, because its turn cannot be confirmed.
func (r *slotRun) awaitLog(ctx context.Context) bool {
	for time.Since(r.journal.Fresh()) > logLostAfter {
		select {
		case <-time.After(logPoll):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
