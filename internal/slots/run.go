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

// Run is an owned slot in one epoch: its journal, its folded state and its calls in progress.
type Run struct {
	Slot  ids.Slot
	Epoch ids.Epoch
	// ctx ends when the slot is lost or the instance stops.
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{}
	journal *journal.Journal
	fold    *program.Slot
	// Queues runs the calls of each program, and those of each request key, one at a time in the order of arrival.
	Queues *fifo.FIFO

	mu sync.Mutex
	// calls is the number of calls in progress, with the work that they leave after their answers.
	calls int
	// draining is set when the slot is being handed over, so that it takes no new calls.
	draining bool
	// idle is closed when calls reaches 0. It is nil unless Drain waits for it.
	idle    chan struct{}
	ledgers map[Program]*turn.Ledger
	tokens  map[Program]countedTokens
	// executing holds the fingerprints of the requests whose intent or cancel record may still reach the log.
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

// QueueName returns the name of the queue in which the program's calls wait for each other.
func (p Program) QueueName() string {
	return "program\x00" + string(p.Workspace) + "\x00" + string(p.ID)
}

// countedTokens is the number of tokens that a target counted for the first messages of a program.
type countedTokens struct {
	messages int
	tokens   ids.Tokens
}

// Enter adds a call to the calls in progress. It returns false if the slot is lost or is being handed over.
func (r *Run) Enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.ctx.Err() != nil {
		return false
	}
	r.calls++
	return true
}

// EnterBackground adds work that continues after the answer to its call. Unlike Enter, it also adds work while the slot is
// being handed over; the handover waits for the work to end.
func (r *Run) EnterBackground() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

// Leave removes a call that Enter added, or work that EnterBackground added.
func (r *Run) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls--
	if r.calls == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// settle appends the exact number of tokens that each program has spent, so that the next owner need not count reserved
// tokens as spent.
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

// Append appends one record. rejection is the reason why the fold did not accept the record, or nil; err is set if it
// is not known whether the record was accepted.
func (r *Run) Append(ctx context.Context, b record.Body) (rejection, err error) {
	rejections, err := r.journal.Append(ctx, b)
	if err != nil {
		return nil, err
	}
	return rejections[0], nil
}

const (
	// logUnavailableAfter is the age of the last up-to-date read of the slot's stream at which the log counts as
	// unavailable and new model calls wait.
	logUnavailableAfter = 3 * time.Second
	logPollInterval     = 50 * time.Millisecond
)

// AwaitLog blocks until the slot's stream has recently been read to its end. It returns false if ctx ends before. A
// model call that is sent while the log is unavailable ends with an unknown run state, because its turn cannot be
// confirmed.
func (r *Run) AwaitLog(ctx context.Context) bool {
	for time.Since(r.journal.Fresh()) > logUnavailableAfter {
		select {
		case <-time.After(logPollInterval):
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

// View calls f with the folded state while no record is applied. f must not call other methods of the Run.
func (r *Run) View(f func(s *program.Slot)) { r.journal.View(func() { f(r.fold) }) }

// Submit queues a record for the log. It neither waits for the append nor reports whether the record was accepted.
func (r *Run) Submit(b record.Body) error { return r.journal.Submit(b) }

// WithLedger calls f with the ledger of a root program, after setting the ledger's budget. It holds the lock that
// Locked uses.
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

// CountedTokens returns the number of tokens that a target counted for the given number of first messages of a program,
// or 0 if the last count was for another number of messages or there is none.
func (r *Run) CountedTokens(p Program, messages int) ids.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.tokens[p]; known.messages == messages {
		return known.tokens
	}
	return 0
}

// SetCountedTokens stores the number of tokens that a target counted for a program's first messages.
func (r *Run) SetCountedTokens(p Program, messages int, tokens ids.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens[p] = countedTokens{messages: messages, tokens: tokens}
}

// Forget drops the token count of an ended program and, if it is a root program, its ledger.
func (r *Run) Forget(p Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tokens, p)
	if p.ID.Root() == p.ID {
		delete(r.ledgers, p)
	}
}

// Locked calls f under the lock that guards the ledgers, for steps of a turn that change a root program's ledger.
func (r *Run) Locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// BeginExecution records that an execution of a request has begun.
func (r *Run) BeginExecution(k Key, f ids.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executing[k] = f
}

// EndExecution records that the last append of an execution has ended.
func (r *Run) EndExecution(k Key) {
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
