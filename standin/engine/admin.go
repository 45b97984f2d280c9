package engine

import (
	"time"
)

// Run is one execution of a chat request. Times are Unix milliseconds, 0 for what has not happened.
type Run struct {
	ID           string `json:"id"`
	Workspace    string `json:"workspace"`
	Program      string `json:"program"`
	Model        string `json:"model"`
	Messages     int    `json:"messages"`
	Digest       string `json:"digest"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	ArrivedMs    int64  `json:"arrivedMs"`
	StartedMs    int64  `json:"startedMs"`
	FirstTokenMs int64  `json:"firstTokenMs"`
	EndedMs      int64  `json:"endedMs"`
	Completed    bool   `json:"completed"`
	Cancelled    bool   `json:"cancelled"`
}

// Runs is the body of GET /runs.
type Runs struct {
	Runs []Run `json:"runs"`
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
	r := Runs{Runs: make([]Run, len(e.order)), Authorization: e.exposed}
	for i, g := range e.order {
		r.Runs[i] = g.record()
	}
	return r
}

// expire forgets the answers that can no longer be resumed, and the oldest runs. The caller holds the lock.
func (e *Engine) expire(now time.Time) {
	for len(e.order) > maxRuns {
		e.order = e.order[1:]
	}
	// Looking at a few streams for each new one is enough to keep up.
	const looks = 4
	n := 0
	for id, g := range e.streams {
		if n++; n > looks {
			return
		}
		if g.expired(now) {
			g.forget()
			delete(e.streams, id)
		}
	}
}

func (e *Engine) measure() *Load {
	running, waiting, used, free := e.batch.counts()
	return &Load{Running: running, Waiting: waiting, CacheUsed: used, CacheFree: free, Leaving: e.leaving.Load()}
}

// reportLoad replaces the load report at intervals, so that it lags.
func (e *Engine) reportLoad() {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.load.Store(e.measure())
		case <-e.batch.done:
			return
		}
	}
}
