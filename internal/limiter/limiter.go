// Package limiter acquires rate tokens from the instance that owns a workspace's slot. If this instance is the owner, it
// grants them, also to other instances.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/rate"
)

const (
	// retryPause is the delay before the next request if no owner answered.
	retryPause = 25 * time.Millisecond
	// maxQueuedReports bounds the reports about grants that wait to be sent. If a report is dropped, its token starts to
	// refill later, when the grant becomes too old to be used. There is no other effect.
	maxQueuedReports = 4096
	// reportTimeout is the timeout for sending one report.
	reportTimeout = time.Second
)

// Owners provides the owners of slots, the addresses of instances and the state of this instance's lease.
type Owners interface {
	Owner(s ids.Slot) (w ids.WriterID, e ids.Epoch, changed <-chan struct{})
	Address(w ids.WriterID) (a peer.Address, ok bool)
	LeaseValid(now time.Time) bool
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
}

// Catalog provides the configuration in force.
type Catalog interface {
	Current() *config.View
}

// Config configures a Limiter.
type Config struct {
	Self     ids.WriterID
	Slots    int
	GrantMax time.Duration
	Hold     time.Duration
	Owners   Owners
	Peers    Caller
	Catalog  Catalog
}

// Limiter acquires rate tokens for this instance's requests, and grants the tokens of the workspaces whose slots this
// instance owns.
type Limiter struct {
	Config
	mu      sync.Mutex
	buckets *rate.Buckets
	wakeups map[ids.WorkspaceID]chan struct{} // returned by wakeup
	reports chan report
	view    *config.View // the configuration whose limits the buckets have
}

type report struct {
	owner ids.WriterID
	body  peer.GrantReport
}

// New returns a limiter; Run sends its reports.
func New(c Config) *Limiter {
	return &Limiter{
		Config:  c,
		buckets: rate.NewBuckets(c.Slots, c.GrantMax),
		wakeups: map[ids.WorkspaceID]chan struct{}{},
		reports: make(chan report, maxQueuedReports),
	}
}

// Run sends reports of grants and drops idle buckets until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-l.reports:
			l.send(ctx, r)
		case now := <-ticker.C:
			l.mu.Lock()
			l.applyLimits(now)
			l.buckets.DropIdle(now)
			l.mu.Unlock()
		}
	}
}

func (l *Limiter) send(ctx context.Context, r report) {
	if r.owner == l.Self {
		l.Report(time.Now(), r.body)
		return
	}
	address, ok := l.Owners.Address(r.owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_ = l.Peers.Call(ctx, address, peer.MethodGranted, r.body, nil)
}

// Grant is a rate token that this instance has acquired.
type Grant struct {
	limiter  *Limiter
	owner    ids.WriterID
	body     peer.GrantReport
	asked    time.Time
	answered time.Time
}

// Usable reports whether a request may still be sent with the token.
func (g *Grant) Usable(now time.Time) bool {
	return rate.Usable(g.asked, g.answered, now, g.limiter.GrantMax)
}

// Used reports to the owner that the request has arrived or failed, so that the token starts to refill. Without the
// report, it starts to refill when the grant becomes too old to be used.
func (g *Grant) Used() { g.report(true) }

// Unused returns the token to the owner.
func (g *Grant) Unused() { g.report(false) }

func (g *Grant) report(used bool) {
	g.body.Used = used
	select {
	case g.limiter.reports <- report{g.owner, g.body}:
	default:
	}
}

// Acquire waits for a token of a workspace. It returns a refusal if ctx ends first, or if the owner finds that the wait
// exceeds the deadline of ctx.
func (l *Limiter) Acquire(ctx context.Context, ws ids.WorkspaceID) (g *Grant, r *peer.Refusal) {
	ask := peer.Acquire{Workspace: ws}
	slot := ids.SlotOfWorkspace(ws, l.Slots)
	var lastOwner ids.WriterID
	for {
		deadline, _ := ctx.Deadline()
		ask.DeadlineMillis = time.Until(deadline).Milliseconds()
		owner, _, changed := l.Owners.Owner(slot)
		if owner != lastOwner {
			ask.Ticket, lastOwner = 0, owner
		}
		asked := time.Now()
		answer, ok := l.ask(ctx, owner, ask)
		answered := time.Now()
		pause := retryPause
		switch {
		case !ok:
		case answer.Granted:
			body := peer.GrantReport{Workspace: ws, Epoch: answer.Epoch, Grant: answer.Grant}
			return &Grant{limiter: l, owner: owner, body: body, asked: asked, answered: answered}, nil
		case answer.Refused:
			return nil, &peer.Refusal{
				Code:             peer.CodeRate,
				Run:              peer.NotRun,
				Message:          "the workspace is beyond its rate, and its next token comes after the request's deadline",
				RetryAfterMillis: max(1, answer.WaitMillis),
			}
		default:
			ask.Ticket = answer.Ticket
			pause = retryDelay(time.Duration(answer.WaitMillis)*time.Millisecond, l.Hold)
		}
		if !l.pause(ctx, slot, owner, changed, pause) {
			return nil, &peer.Refusal{Code: peer.CodeDeadline, Run: peer.NotRun, Message: "the deadline passed while the request waited for a rate token"}
		}
	}
}

// retryDelay returns the delay before the next request for a token that is available after wait. The request is sent
// half of hold early, so that the reservation does not expire before it arrives. The owner keeps it open for up to hold.
func retryDelay(wait, hold time.Duration) time.Duration { return max(wait-hold/2, time.Millisecond) }

// pause blocks for d, or until the slot has another owner, which does not have the reservation. It returns false if ctx
// ended.
func (l *Limiter) pause(ctx context.Context, s ids.Slot, owner ids.WriterID, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case <-changed:
		}
		var now ids.WriterID
		if now, _, changed = l.Owners.Owner(s); now != owner {
			return true
		}
	}
}

func (l *Limiter) ask(ctx context.Context, owner ids.WriterID, ask peer.Acquire) (a peer.Acquired, ok bool) {
	if owner == "" {
		return a, false
	}
	if owner == l.Self {
		a = l.Serve(ctx, ask)
		return a, !a.NotOwner
	}
	address, ok := l.Owners.Address(owner)
	if !ok {
		return a, false
	}
	// A grant cannot be used if the request for it takes longer than GrantMax.
	ctx, cancel := context.WithTimeout(ctx, l.GrantMax)
	defer cancel()
	err := l.Peers.Call(ctx, address, peer.MethodAcquire, ask, &a)
	return a, err == nil && !a.NotOwner
}

// Serve handles a request for a token as the owner of the workspace's slot. It keeps the request open for up to Hold.
func (l *Limiter) Serve(ctx context.Context, ask peer.Acquire) peer.Acquired {
	now := time.Now()
	until := now.Add(l.Hold)
	deadline := now.Add(time.Duration(ask.DeadlineMillis) * time.Millisecond)
	ticket := rate.Ticket(ask.Ticket)
	for {
		answer, ready, again := l.decide(time.Now(), ask.Workspace, &ticket, deadline)
		if !again {
			return answer
		}
		wait := time.Duration(answer.WaitMillis) * time.Millisecond
		if time.Now().Add(wait).After(until) {
			return answer
		}
		select {
		case <-time.After(wait):
		case <-ready:
		case <-ctx.Done():
			return answer
		}
	}
}

// decide requests a token from the bucket once. If again is true, the request waits, and the caller may call decide
// again after the wait or when ready is closed.
func (l *Limiter) decide(now time.Time, ws ids.WorkspaceID, t *rate.Ticket, deadline time.Time) (a peer.Acquired, ready <-chan struct{}, again bool) {
	slot := ids.SlotOfWorkspace(ws, l.Slots)
	owner, epoch, _ := l.Owners.Owner(slot)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimits(now)
	if owner != l.Self || !l.Owners.LeaseValid(now) {
		if owner != l.Self {
			l.buckets.Close(slot)
		}
		return peer.Acquired{NotOwner: true}, nil, false
	}
	l.buckets.Open(now, slot, epoch)
	limits, ok := limitOf(l.view, ws)
	if !ok {
		return peer.Acquired{Refused: true}, nil, false
	}
	bucket, err := l.buckets.Bucket(now, ws, limits)
	if err != nil {
		return peer.Acquired{NotOwner: true}, nil, false
	}
	d := rate.Decision{Kind: rate.Expired}
	if *t != 0 {
		d = bucket.Take(now, *t)
	}
	if d.Kind == rate.Expired {
		d = bucket.Acquire(now, 1, deadline)
	}
	a = peer.Acquired{Epoch: epoch, WaitMillis: ids.Millis(d.At.Sub(now))}
	switch d.Kind {
	case rate.Granted:
		*t = 0
		a.Granted, a.Grant = true, uint64(d.Grant)
		return a, nil, false
	case rate.Wait:
		*t = d.Ticket
		a.Ticket = uint64(d.Ticket)
		return a, l.wakeup(ws), true
	default:
		a.Refused = true
		return a, nil, false
	}
}

// applyLimits applies limits that changed since the last call. Otherwise a bucket would refill at the earlier rate until
// its next use. The caller holds l.mu.
func (l *Limiter) applyLimits(now time.Time) {
	view := l.Catalog.Current()
	if view == l.view {
		return
	}
	last := l.view
	l.view = view
	if last == nil {
		return
	}
	for _, ws := range view.ChangedSince(last.Revision()) {
		after, ok := limitOf(view, ws)
		if !ok {
			continue
		}
		before, ok := limitOf(last, ws)
		if !ok {
			before = after
		}
		l.buckets.Change(now, ws, before, after)
	}
}

func limitOf(v *config.View, ws ids.WorkspaceID) (r rate.Limit, ok bool) {
	l, ok := v.Limits(ws)
	return rate.Limit{Rate: rate.PerSecond(l.Rate), Burst: int64(l.Burst)}, ok
}

// wakeup returns a channel that is closed when a report has made a token available for a waiting request of the
// workspace. The caller holds l.mu.
func (l *Limiter) wakeup(ws ids.WorkspaceID) <-chan struct{} {
	c, ok := l.wakeups[ws]
	if !ok {
		c = make(chan struct{})
		l.wakeups[ws] = c
	}
	return c
}

// Report handles the report about a grant as the owner of the workspace's slot.
func (l *Limiter) Report(now time.Time, r peer.GrantReport) {
	slot := ids.SlotOfWorkspace(r.Workspace, l.Slots)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLimits(now)
	if epoch, open := l.buckets.Epoch(slot); !open || epoch != r.Epoch {
		return
	}
	limits, ok := limitOf(l.view, r.Workspace)
	if !ok {
		return
	}
	bucket, err := l.buckets.Bucket(now, r.Workspace, limits)
	if err != nil {
		return
	}
	if r.Used {
		bucket.Used(now, rate.GrantID(r.Grant))
	} else {
		bucket.Unused(now, rate.GrantID(r.Grant))
	}
	if _, ok := bucket.Ready(now); ok {
		if c, ok := l.wakeups[r.Workspace]; ok {
			close(c)
			delete(l.wakeups, r.Workspace)
		}
	}
}

// Status is the limiter's part of a status dump.
type Status struct {
	Buckets int `json:"buckets"`
	Reports int `json:"queuedReports"`
}

// Status returns the number of buckets and of queued reports.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{Buckets: l.buckets.Len(), Reports: len(l.reports)}
}
