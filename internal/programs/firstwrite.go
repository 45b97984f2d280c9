package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
)

const (
	// slowLeaderFactor is how many times as long as a read of nothing a write must have taken for its leader to be the cause. An append
	// waits for the one before it, and a conflict adds a read and another append.
	slowLeaderFactor = 5
	// askDelay is after how long a write takes longer than usual, so that the log is asked whether it is slow.
	askDelay = 100 * time.Millisecond
	// askTimeout is how long a log that works may take to answer. An append is not given up before it has passed.
	askTimeout = attemptTimeout - askDelay
	// slowAnswerAge is how long an answer that took askDelay or longer is taken for the next one.
	slowAnswerAge = 500 * time.Millisecond
)

// firstWrite is the first attempt at a write, beside which a second one may be made.
type firstWrite struct {
	store *Store
	began time.Time
	ctx   context.Context // ends when no second attempt is wanted any more
	end   context.CancelFunc
	// failed ends with ctx, and when the first attempt has failed.
	failed    context.Context
	setFailed context.CancelFunc
}

// beginFirst begins a first attempt. If it takes longer than usual, the log is asked about the partition that would take the second one.
func (s *Store) beginFirst(ctx context.Context, second *partition) *firstWrite {
	f := &firstWrite{store: s, began: s.Now()}
	f.ctx, f.end = context.WithCancel(ctx)
	f.failed, f.setFailed = context.WithCancel(f.ctx)
	second.askWhile(f.ctx)
	return f
}

// fail records that the first attempt has failed. The second one need not wait any longer, but there is none if the log throttles
// calls.
func (f *firstWrite) fail(err error) {
	if errors.Is(err, partlog.ErrThrottled) {
		f.end()
	}
	f.setFailed()
}

// awaitSlow blocks until the first attempt has failed, or has taken much longer than this instance waits for an answer of the log
// about a partition. If the log is slow for this instance too, it is slow for the leader, and an append of this instance's own would take
// its time from the leaders' and conflict with them. Then late is true; unless evenLate, only a failure ends the wait. The error wraps
// partlog.ErrNotApplied and means that there must be no second attempt.
func (f *firstWrite) awaitSlow(p *partition, budget *hedge.Budget, evenLate bool) (late bool, err error) {
	answer := p.ask()
	select {
	case <-answer.done:
		late = answer.took >= askDelay
		if late && !evenLate {
			<-f.failed.Done()
		} else if f.awaitAge(slowLeaderFactor*answer.took) == nil && answer.err != nil {
			return late, errors.Join(partlog.ErrNotApplied, answer.err)
		}
	case <-f.failed.Done():
	}
	if f.ctx.Err() != nil {
		return late, errors.Join(partlog.ErrNotApplied, context.Cause(f.ctx))
	}
	if !budget.Allow(f.store.Now()) {
		return late, errors.Join(partlog.ErrNotApplied, errors.New("too many records are written a second time"))
	}
	return late, nil
}

// awaitAge blocks until the first attempt has taken a time. The error is that it has failed before, or that no second one is wanted.
func (f *firstWrite) awaitAge(age time.Duration) error {
	timer := time.NewTimer(f.began.Add(age).Sub(f.store.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.failed.Done():
		return f.failed.Err()
	}
}

// answer is the answer of the log to a read of nothing. The other fields are set before done is closed.
type answer struct {
	done chan struct{}
	took time.Duration
	err  error
}

// askWhile asks the log from askDelay on, and as often as its answers count no longer, until the context ends.
func (p *partition) askWhile(ctx context.Context) {
	var again func()
	again = func() {
		if ctx.Err() == nil {
			p.ask()
			time.AfterFunc(slowAnswerAge, again)
		}
	}
	first := time.AfterFunc(askDelay, again)
	context.AfterFunc(ctx, func() { first.Stop() })
}

// ask reads nothing of the partition, in order to learn how long the log takes to answer. There is one such read at a time. A slow answer
// about any partition counts for slowAnswerAge, so that a slow log is not asked more often.
func (p *partition) ask() *answer {
	if a := p.store.recentSlowAnswer(); a != nil {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked != nil {
		return p.asked
	}
	a := &answer{done: make(chan struct{})}
	p.asked = a
	go func() {
		began := p.store.Now()
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		_, a.err = partlog.End(ctx, p.store.Log, p.id)
		cancel()
		a.took = p.store.Now().Sub(began)
		p.store.answered(a)
		p.mu.Lock()
		p.asked = nil
		p.mu.Unlock()
		close(a.done)
	}()
	return a
}

// answered records an answer of the log.
func (s *Store) answered(a *answer) {
	switch {
	case errors.Is(a.err, partlog.ErrThrottled):
		return
	case a.err != nil:
		s.Writes.Unanswered()
		return
	}
	s.Writes.Answered(a.took)
	if a.took < askDelay {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowAnswer, s.slowAnswerAt = a, s.Now()
}

// recentSlowAnswer returns the last slow answer of the log if it still counts.
func (s *Store) recentSlowAnswer() *answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowAnswer == nil || s.Now().Sub(s.slowAnswerAt) > slowAnswerAge {
		return nil
	}
	return s.slowAnswer
}
