package gateway

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// takeQuota uses one request of a workspace's rate. It waits a little before it refuses. Programs that have begun go before
// those that begin: a program that is refused midway has used its workspace's rate in vain.
func (g *Gateway) takeQuota(ctx context.Context, ws ids.WorkspaceID, asked int, priority int) (d grants.Decision, spare float64) {
	wait := begunWait
	switch {
	case asked == 0:
		spare, wait = min(spareToBegin+sparePerRank*float64(priority), mostSpare), beginWait
	case asked > longProgram:
		spare = spareOfLong
	}
	last := g.now().Add(wait)
	for {
		d = g.grants.Take(ctx, ws, spare)
		if d.OK || d.Retry > last.Sub(g.now()) || ctx.Err() != nil {
			return d, spare
		}
		select {
		case <-time.After(d.Retry):
		case <-ctx.Done():
		}
	}
}

const (
	// beginWait and begunWait are how long the first request of a program and its later ones wait for their workspace's
	// rate before they are refused.
	beginWait = 50 * time.Millisecond
	begunWait = 150 * time.Millisecond
	// spareToBegin is the part of a burst that must be left for a program of the highest priority to begin, sparePerRank
	// what each rank below adds.
	spareToBegin = 0.1
	sparePerRank = 0.1
	mostSpare    = 0.5
	// longProgram is the number of requests after which a program no longer goes before others: it may never end.
	longProgram = 60
	spareOfLong = 0.4
)

// programKeep is how long a program without requests counts as begun.
const programKeep = time.Minute

// programUse is what the gateway has seen of a program.
type programUse struct {
	requests int
	last     time.Time
}

// dropUses forgets programs without requests.
func (g *Gateway) dropUses(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, use := range g.uses {
		if now.Sub(use.last) > programKeep {
			delete(g.uses, k)
		}
	}
}

// requestsOf returns how many requests of a program the gateway has let in.
func (g *Gateway) requestsOf(ws ids.WorkspaceID, p ids.ProgramID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.uses[account.Key{Workspace: ws, Program: p}].requests
}

// letIn counts a request of a program.
func (g *Gateway) letIn(now time.Time, ws ids.WorkspaceID, p ids.ProgramID) {
	if p == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := account.Key{Workspace: ws, Program: p}
	g.uses[k] = programUse{requests: g.uses[k].requests + 1, last: now}
}

func (g *Gateway) returnQuota(ws ids.WorkspaceID) {
	g.grants.Return(ws)
}
