package programs

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/account"
)

// settleDelay is how long settlements wait for a reservation or a turn that is written to the same partition, if a leader
// collects what is written. Without a leader they are written at once.
const settleDelay = 200 * time.Millisecond

// sendPool writes the reservation of a new pool, together with the settlements that wait. It tries until the deadline, but for
// writeTimeout at least and maxLeaderTimeout at most. The caller holds the lock.
func (p *partition) sendPool(pl *pool, deadline time.Time) {
	b := batch{
		reservations: []reservation{{key: pl.key, turn: pl.id, budget: pl.budget, tokens: pl.tokens, least: pl.firstTurnTokens}},
		settlements:  p.takeSettlements(),
	}
	p.sending++
	go func() {
		defer p.endSend()
		w := p.store.Writes.Begin(p.id)
		granted, err := p.send(b, min(max(writeTimeout, deadline.Sub(p.store.Now())), maxLeaderTimeout))
		w.End(err)
		if err != nil {
			p.failPool(pl, err)
			return
		}
		p.grantPool(pl, granted[0])
	}()
}

// maxSettlementBytes bounds the settlements of one batch. After an outage of the log, more than one append can take may wait.
const maxSettlementBytes = maxAppendBytes / 2

// takeSettlements removes the settlements that wait, at most maxSettlementBytes of them. The caller holds the lock.
func (p *partition) takeSettlements() (l []account.Record) {
	bytes, n := 0, 0
	for n < len(p.settlements) && bytes < maxSettlementBytes {
		bytes += accountSize(p.settlements[n].Key, p.settlements[n].Turn)
		n++
	}
	l, p.settlements = p.settlements[:n:n], p.settlements[n:]
	if len(p.settlements) == 0 {
		p.settlements = nil
	} else {
		p.scheduleSendAfter(settleDelay)
	}
	return l
}

// endSend ends a batch that was counted in sending, after what follows from its result is done.
func (p *partition) endSend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sending--
}

// send writes a batch of this instance, which the caller has counted in sending. Settlements that could not be written wait
// for the next batch.
func (p *partition) send(b batch, timeout time.Duration) (granted []grant, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	granted, err = p.store.writeAccounts(ctx, p, b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && len(b.settlements) > 0 {
		p.settlements = append(b.settlements, p.settlements...)
		p.scheduleSendAfter(writeTimeout)
	}
	return granted, err
}

// failPool ends the wait for a reservation that could not be written. It may be written yet, so it is settled.
func (p *partition) failPool(pl *pool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.finish(err)
	if !errors.Is(err, partlog.ErrNotApplied) {
		p.returnGrant(pl)
	}
}

// grantPool ends the wait for a reservation that the partition's leader has decided. A pool that is granted less than the
// turns that have joined it meanwhile need is not used.
func (p *partition) grantPool(pl *pool, g grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := g.Tokens
	if tokens == 0 || tokens < pl.reserved+pl.spent {
		pl.finish(ErrBudgetExceeded)
		if tokens > 0 || g.uncertain {
			p.returnGrant(pl)
		}
		return
	}
	pl.tokens = tokens
	p.ledger.Apply(account.Record{Key: pl.key, Turn: pl.id, Tokens: tokens, At: p.store.Now()})
	p.elsewhere[pl.key] = max(g.Committed-p.ledger.Committed(pl.key), 0)
	pl.finish(nil)
}

// returnGrant settles a pool from which no caller has received a token. The caller holds the lock.
func (p *partition) returnGrant(pl *pool) {
	p.settlements = append(p.settlements, account.Record{Key: pl.key, Turn: pl.id, Settled: true, At: p.store.Now()})
	p.scheduleSend()
}

// scheduleSend sends the waiting settlements soon. The caller holds the lock.
func (p *partition) scheduleSend() {
	if p.store.Leaders == nil {
		p.sendSettlements()
		return
	}
	p.scheduleSendAfter(settleDelay)
}

func (p *partition) scheduleSendAfter(d time.Duration) {
	if p.sendScheduled {
		return
	}
	p.sendScheduled = true
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sendScheduled = false
		p.sendSettlements()
	})
}

// sendSettlements writes the waiting settlements. The caller holds the lock.
func (p *partition) sendSettlements() {
	b := batch{settlements: p.takeSettlements()}
	if b.empty() {
		return
	}
	p.sending++
	go func() {
		defer p.endSend()
		_, _ = p.send(b, writeTimeout)
	}()
}

// flushTries is the number of times that a planned stop tries to write settlements without success.
const flushTries = 3

// flush writes the waiting settlements, and those of the reservations in progress, until there are none, the context ends or
// writes have failed flushTries times.
func (p *partition) flush(ctx context.Context) {
	for failures := 0; failures < flushTries; {
		p.mu.Lock()
		before := len(p.settlements)
		p.sendSettlements()
		p.mu.Unlock()
		for p.isSending() {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		p.mu.Lock()
		after := len(p.settlements)
		p.mu.Unlock()
		switch {
		case after == 0:
			return
		case after < before:
			continue
		}
		failures++
		select {
		case <-time.After(throttledDelay()):
		case <-ctx.Done():
			return
		}
	}
}
