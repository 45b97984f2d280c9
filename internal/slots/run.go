package slots

import (
	"context"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/fifo"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/program"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/turn"
)

// Run is one epoch of an owned slot.
type Run struct {
	Slot  ids.Slot
	Epoch ids.Epoch
	// ctx ends when the slot is lost or the instance stops.
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{}
	journal *journal.Journal
	fold    *program.Slot
	// Lines order the calls of each program and of each request key.
	Lines *fifo.FIFO

	mu       sync.Mutex
	calls    int
	draining bool
	idle     chan struct{}
	ledgers  map[Program]*turn.Ledger
	tokens   map[Program]knownTokens
	// executing are the fingerprints of the requests whose intent or cancel may still reach the log.
	executing map[Key]ids.Fingerprint
}

// Key names a request of a workspace.
type Key struct {
	Workspace ids.WorkspaceID
	Key       ids.RequestKey
}

// Program names a program of a workspace.
type Program struct {
	Workspace ids.WorkspaceID
	ID        ids.ProgramID
}

// Line names the line in which the program's calls wait for each other.
func (p Program) Line() string { return "program\x00" + string(p.Workspace) + "\x00" + string(p.ID) }

// knownTokens is the number of tokens that a target counted for a program's first messages.
type knownTokens struct {
	messages int
	tokens   ids.Tokens
}

// Enter counts a call in; it reports false if the slot is being handed over.
func (r *Run) Enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.ctx.Err() != nil {
		return false
	}
	r.calls++
	return true
}

// Hold counts in what a call leaves to be done after its answer.
func (r *Run) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

// Leave counts a call out.
func (r *Run) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
	if r.calls == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// settle states the exact spending of every program, so that the next owner need not count reservations as spent.
func (r *Run) settle(ctx context.Context) error {
	if !r.open() {
		return nil
	}
	r.mu.Lock()
	var bodies []record.Body
	for k, l := range r.ledgers {
		if spent, ok := l.Close(); ok {
			bodies = append(bodies, &record.Settle{Epoch: r.Epoch, Workspace: k.Workspace, Program: k.ID, Spent: spent})
		}
	}
	r.mu.Unlock()
	if len(bodies) == 0 {
		return nil
	}
	_, err := r.journal.Append(ctx, bodies...)
	return err
}

// Append appends one record and returns its verdict, or an error if the verdict is not known.
func (r *Run) Append(ctx context.Context, b record.Body) (verdict, err error) {
	verdicts, err := r.journal.Append(ctx, b)
	if err != nil {
		return nil, err
	}
	return verdicts[0], nil
}

const (
	// logLostAfter is the age of the last up-to-date read of the slot's stream at which new model calls wait.
	logLostAfter = 3 * time.Second
	logPoll      = 50 * time.Millisecond
)

// AwaitLog waits until the slot's stream is readable. A model call that is sent while it is not ends with an unknown
// run state, because its turn cannot be confirmed.
func (r *Run) AwaitLog(ctx context.Context) bool {
	for time.Since(r.journal.Fresh()) > logLostAfter {
		select {
		case <-time.After(logPoll):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Lost reports whether this instance no longer owns the slot in this epoch, or is stopping.
func (r *Run) Lost() bool { return r.ctx.Err() != nil }

// Context returns the context that ends when the slot is lost or the instance stops.
func (r *Run) Context() context.Context { return r.ctx }

// Ready returns a channel that is closed when the slot's stream has been read and opened.
func (r *Run) Ready() <-chan struct{} { return r.ready }

// View runs f while no record is applied. F must not call the run's other methods.
func (r *Run) View(f func(s *program.Slot)) { r.journal.View(func() { f(r.fold) }) }

// Submit queues a record without waiting for its verdict.
func (r *Run) Submit(b record.Body) error { return r.journal.Submit(b) }

// WithLedger runs f with the account of a root program, alone.
func (r *Run) WithLedger(root Program, budget ids.Tokens, f func(l *turn.Ledger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.ledgers[root]
	if !ok {
		var spending program.Spending
		r.journal.View(func() { spending = r.fold.Budget(root.Workspace, root.ID) })
		l = turn.NewLedger(budget, spending)
		r.ledgers[root] = l
	}
	l.SetBudget(budget)
	f(l)
}

// CountedTokens returns the number of tokens that a target counted for a program's first messages, if that many messages
// are its history still; 0 if it is not known.
func (r *Run) CountedTokens(p Program, messages int) ids.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.tokens[p]; known.messages == messages {
		return known.tokens
	}
	return 0
}

// SetCountedTokens notes what a target counted for a program's first messages.
func (r *Run) SetCountedTokens(p Program, messages int, tokens ids.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[p] = knownTokens{messages: messages, tokens: tokens}
}

// Forget drops what is kept in memory of an ended program.
func (r *Run) Forget(p Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tokens, p)
	if p.ID.Root() == p.ID {
		delete(r.ledgers, p)
	}
}

// Locked runs f alone among the calls of the slot, for steps that change a root program's account.
func (r *Run) Locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Begin notes that an execution of a request begins.
func (r *Run) Begin(k Key, f ids.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executing[k] = f
}

// End notes that the last append of an execution has ended.
func (r *Run) End(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.executing, k)
}

// Executing returns the fingerprint of the execution of a request in progress, or nil.
func (r *Run) Executing(k Key) *ids.Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.executing[k]
	if !ok {
		return nil
	}
	return &f
}
