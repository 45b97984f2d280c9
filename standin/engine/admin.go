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
	// Authorization counts the requests with an Authorization header. No target may receive that header.
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

// Runs returns the newest executions, at most costs.MaxRuns.
func (e *Engine) Runs() Runs {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Runs{Runs: make([]batch.Run, len(e.listed)), Authorization: e.authorized}
	for i, g := range e.listed {
		r.Runs[i] = g.RunRecord()
	}
	return r
}

// expire deletes the runs above costs.MaxRuns, oldest first, and some of the streams that can no longer be resumed. The
// caller holds the lock.
func (e *Engine) expire(now time.Time) {
	for len(e.listed) > costs.MaxRuns {
		e.listed = e.listed[1:]
	}
	// It is called once for each new stream, so checking a few streams per call is enough to keep up.
	const maxChecks = 4
	n := 0
	for id, g := range e.streams {
		if n++; n > maxChecks {
			return
		}
		if g.Expired(now) {
			g.Forget()
			delete(e.streams, id)
		}
	}
}

// measure returns the current load.
func (e *Engine) measure() *Load {
	l := &Load{Leaving: e.leaving.Load()}
	l.Running, l.Waiting = e.batch.Counts()
	e.batch.WithCache(func(c *prefix.Cache, _ *prefix.EventLog) { l.CacheUsed, l.CacheFree = c.Used(), c.Free() })
	return l
}

// reportLoad refreshes the load report every costs.LoadInterval until the engine stops. Between refreshes the report is
// deliberately outdated.
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
