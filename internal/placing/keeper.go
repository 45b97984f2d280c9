package placing

import (
	"context"
	"time"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/line"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/target"
)

// Names of the methods.
const (
	methodWait = "wait"
	methodDone = "done"
)

// waitParams ask for a target.
type waitParams struct {
	// Ticket names the request at the instance that asks.
	Ticket     string           `json:"ticket"`
	Service    call.ServiceName `json:"service"`
	Group      int              `json:"group"`
	WaitMs     int64            `json:"waitMs"`
	Workspace  ids.WorkspaceID  `json:"workspace"`
	Program    ids.ProgramID    `json:"program"`
	Prompt     ids.Tokens       `json:"prompt"`
	Output     ids.Tokens       `json:"output"`
	Parts      []target.Part    `json:"parts,omitempty"`
	Zone       ids.Zone         `json:"zone"`
	Repeatable bool             `json:"repeatable,omitempty"`
	Excluded   []ids.TargetID   `json:"excluded,omitempty"`
}

func newWaitParams(ticket string, key line.Key, it dispatch.Item, wait time.Duration) waitParams {
	return waitParams{
		Ticket: ticket, Service: key.Service, Group: key.Group, WaitMs: wait.Milliseconds(), Workspace: it.Workspace,
		Program: it.Program, Prompt: it.Prompt, Output: it.Output, Parts: it.Parts, Zone: it.Zone, Repeatable: it.Repeatable,
		Excluded: it.Excluded,
	}
}

type waitResult struct {
	// Target is empty if there is none; Reason says why, and RetryMs when there may be one.
	Target  ids.TargetID    `json:"target,omitempty"`
	Cached  ids.Tokens      `json:"cached,omitempty"`
	Reason  dispatch.Reason `json:"reason,omitempty"`
	RetryMs int64           `json:"retryMs,omitempty"`
}

// doneParams tell how a request ended that was placed, or that it is no longer to be.
type doneParams struct {
	Ticket  string           `json:"ticket"`
	Outcome dispatch.Outcome `json:"outcome"`
	Usage   record.Usage     `json:"usage"`
	Load    call.Load        `json:"load"`
}

// kept is another instance's request in a line of this one.
type kept struct {
	cancel context.CancelFunc
	place  *line.Place // nil while it waits
	until  time.Time
}

// Methods are the calls of other instances.
func (p *Placer) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{methodWait: rpc.Typed(p.serveWait), methodDone: rpc.Typed(p.serveDone)}
}

func (p *Placer) serveWait(ctx context.Context, w waitParams) (any, error) {
	now := p.Now()
	deadline := now.Add(time.Duration(w.WaitMs) * time.Millisecond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := &kept{cancel: cancel, until: deadline.Add(placedSlack)}
	p.mu.Lock()
	p.placed[w.Ticket] = k
	p.mu.Unlock()
	place, r := p.Lines.Wait(ctx, line.Key{Service: w.Service, Group: w.Group}, dispatch.Item{
		Workspace: w.Workspace, Program: w.Program, Prompt: w.Prompt, Output: w.Output, Parts: w.Parts, Zone: w.Zone,
		Repeatable: w.Repeatable, Excluded: w.Excluded, Deadline: deadline,
	})
	if r != nil {
		p.forget(w.Ticket)
		return waitResult{Reason: r.Reason, RetryMs: r.RetryAfter.Milliseconds()}, nil
	}
	p.mu.Lock()
	_, wanted := p.placed[w.Ticket]
	k.place = &place
	k.until = p.Now().Add(longestRun)
	p.mu.Unlock()
	if !wanted {
		place.Done(p.Now(), dispatch.Unsent, record.Usage{})
		return waitResult{Reason: dispatch.ReasonExpired}, nil
	}
	return waitResult{Target: place.Target.ID, Cached: place.Cached}, nil
}

// longestRun is how long a place counts as taken whose request's end is never told.
const longestRun = 4 * time.Second

func (p *Placer) forget(ticket string) *kept {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.placed[ticket]
	delete(p.placed, ticket)
	return k
}

func (p *Placer) serveDone(_ context.Context, d doneParams) (any, error) {
	k := p.forget(d.Ticket)
	if k == nil {
		return nil, nil
	}
	k.cancel()
	if k.place != nil {
		now := p.Now()
		k.place.Load(now, d.Load)
		k.place.Done(now, d.Outcome, d.Usage)
	}
	return nil, nil
}

// DropOld frees the places whose requests' ends were never told. Call it every few hundred milliseconds.
func (p *Placer) DropOld(now time.Time) {
	var old []*kept
	p.mu.Lock()
	for ticket, k := range p.placed {
		if now.After(k.until) {
			delete(p.placed, ticket)
			old = append(old, k)
		}
	}
	p.mu.Unlock()
	for _, k := range old {
		k.cancel()
		if k.place != nil {
			k.place.Done(now, dispatch.Unsent, record.Usage{})
		}
	}
}
