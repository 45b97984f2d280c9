package engine

import (
	"time"

	"github.com/comfreylink/comfreylink/standin/engine/batch"
	"github.com/comfreylink/comfreylink/standin/engine/costs"
	"github.com/comfreylink/comfreylink/standin/engine/prefix"
)

// Runs is the body of GET /runs.
type Runs struct {
	Runs []batch.Run `json:"runs"`
	// Authorization counts requests with an Authorization header, which no target may see.
	Authorization int `json:"authorization"`
}

// Load is the body of GET /v1/load.
type Load struct {
	Running   int  `json:"running"`
	Waiting   int  `json:"waiting"`
	CacheUsed int  `json:"cacheTokensUsed"`
	CacheFree int  `json:"cacheTokensFree"`
	Leaving   bool `json:"leaving"`
}

// Runs returns the executions so far.
func (e *Engine) Runs() Runs {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Runs{Runs: make([]batch.Run, len(e.order)), Authorization: e.exposed}
	for i, g := range e.order {
		r.Runs[i] = g.Record()
	}
	return r
}

// expire forgets the answers that can no longer be resumed, and the oldest runs. The caller holds the lock.
func (e *Engine) expire(now time.Time) {
	for len(e.order) > costs.MaxRuns {
		e.order = e.order[1:]
	}
	// Looking at a few streams for each new one is enough to keep up.
	const looks = 4
	n := 0
	for id, g := range e.streams {
		if n++; n > looks {
			return
		}
		if g.Expired(now) {
			g.Forget()
			delete(e.streams, id)
		}
	}
}

func (e *Engine) measure() *Load {
	l := &Load{Leaving: e.leaving.Load()}
	l.Running, l.Waiting = e.batch.Counts()
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) { l.CacheUsed, l.CacheFree = c.Used(), c.Free() })
	return l
}

// reportLoad replaces the load report at intervals, so that it lags.
func (e *Engine) reportLoad() {
	t := time.NewTicker(costs.LoadInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.load.Store(e.measure())
		case <-e.batch.Done():
			return
		}
	}
}
