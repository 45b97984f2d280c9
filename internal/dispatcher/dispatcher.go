// Package dispatcher finds targets for calls. One instance holds the queue of each pool, chosen by rendezvous hashing.
// The package asks that instance for targets, and holds the queues of the pools for which this instance is chosen.
package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

const (
	// retryPause is the wait before a call asks for a target again.
	retryPause = 10 * time.Millisecond
	// maxPendingEnds bounds the reports of ended placements that wait to be sent. If a report is dropped, the placement
	// counts as in flight until some time after the call's deadline (placedSlack).
	maxPendingEnds = 4096
	doneTimeout    = time.Second
)

// Members provides the instances and targets that this instance knows.
type Members interface {
	// Live returns the instances that are live.
	Live(now time.Time) []slot.Member
	// AddressOf returns where an instance listens for peers.
	AddressOf(id ids.InstanceID) (a peer.Address, ok bool)
	// Targets returns the listed targets, and a channel that is closed when the list changes.
	Targets() (targets []instancelist.Instance, changed <-chan struct{})
}

// Caller sends requests to peers.
type Caller interface {
	Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error
}

// Config configures a Dispatcher.
type Config struct {
	Self    ids.InstanceID
	Zone    ids.Zone
	Members Members
	Peers   Caller
	Engines Engines
	// Programs finds out which programs exist, so that the cached prefixes of ended ones can be removed.
	Programs Programs
	// ModelPools returns the pools of engines that the templates name.
	ModelPools func() []ids.PoolID
	// Options returns the options of a pool's queue, and whether its targets report their load.
	Options func(pool ids.PoolID) (o dispatch.Options, reportsLoad bool)
	Logger  *zap.Logger
}

// Dispatcher places calls at targets. It is both the client and the server of the requests for targets between
// instances.
type Dispatcher struct {
	Config
	mu    sync.Mutex
	pools map[ids.PoolID]*pool
	// ends holds the ended placements that are still to be reported to other instances.
	ends chan ending
}

// ending reports the end of a placement to the instance that placed the call.
type ending struct {
	to   ids.InstanceID
	body peer.Done
}

// New returns a Dispatcher. Run and RunPools must run for it to work.
func New(c Config) *Dispatcher {
	return &Dispatcher{Config: c, pools: map[ids.PoolID]*pool{}, ends: make(chan ending, maxPendingEnds)}
}

// Place waits for a target of a pool until ctx ends. It asks the live instance with the highest rendezvous score for
// the pool, and the instance with the next score if that one does not answer.
func (d *Dispatcher) Place(ctx context.Context, id ids.PoolID, it dispatch.Item) (p targets.Placement, r *peer.Refusal) {
	var failed []ids.InstanceID
	for {
		at := d.dispatcherOf(id, failed)
		placed, ok := d.request(ctx, at, peer.Place{Pool: id, Item: it})
		if ok && placed.Refusal != nil {
			return p, placed.Refusal
		}
		if ok {
			return targets.Placement{Target: placed.Target, Address: placed.Address, Pool: id, Ticket: placed.Ticket, Dispatcher: at}, nil
		}
		if at == d.Self {
			failed = nil
		} else {
			failed = append(failed, at)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return p, &peer.Refusal{Code: peer.CodeDeadline, Run: peer.NotRun, Message: "the deadline passed while the call waited for a target"}
		}
	}
}

// dispatcherOf returns the live instance with the highest rendezvous score for a pool, apart from those that have
// failed. It returns this instance if there is no other.
func (d *Dispatcher) dispatcherOf(id ids.PoolID, failed []ids.InstanceID) (best ids.InstanceID) {
	best = d.Self
	score := uint64(0)
	for _, m := range d.Members.Live(time.Now()) {
		if slices.Contains(failed, m.Instance) {
			continue
		}
		if s := ids.Rendezvous(string(m.Instance), string(id)); s >= score {
			best, score = m.Instance, s
		}
	}
	return best
}

// request asks an instance, which may be this one, for a target. It returns false if the instance did not answer.
func (d *Dispatcher) request(ctx context.Context, at ids.InstanceID, request peer.Place) (a peer.Placed, ok bool) {
	deadline, _ := ctx.Deadline()
	request.DeadlineMillis = time.Until(deadline).Milliseconds()
	if at == d.Self {
		return d.Serve(ctx, request), true
	}
	address, ok := d.Members.AddressOf(at)
	if !ok {
		return a, false
	}
	// The attempt ends early if the instance dies or pauses, so that the call need not wait for it until its deadline.
	for ctx.Err() == nil {
		attempt, cancel := context.WithCancel(ctx)
		stop := d.watch(attempt, cancel, at)
		err := d.Peers.Call(attempt, address, peer.MethodPlace, request, &a)
		stop()
		cancel()
		return a, err == nil
	}
	return a, false
}

// watch calls cancel when an instance is no longer live. It ends with ctx.
func (d *Dispatcher) watch(ctx context.Context, cancel context.CancelFunc, at ids.InstanceID) (stop func()) {
	ticker := time.NewTicker(watchInterval)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if !d.live(at) {
					cancel()
					return
				}
			}
		}
	}()
	return ticker.Stop
}

// watchInterval is how often a waiting request checks whether its dispatcher is still live.
const watchInterval = 250 * time.Millisecond

func (d *Dispatcher) live(at ids.InstanceID) bool {
	for _, m := range d.Members.Live(time.Now()) {
		if m.Instance == at {
			return true
		}
	}
	return false
}

// Done ends a placement. A report to another instance is sent in the background by Run.
func (d *Dispatcher) Done(p targets.Placement, o dispatch.Outcome, u record.Usage) {
	body := peer.Done{Pool: p.Pool, Ticket: p.Ticket, Outcome: o, Usage: u}
	if p.Dispatcher == d.Self {
		d.End(body)
		return
	}
	select {
	case d.ends <- ending{p.Dispatcher, body}:
	default:
	}
}

// Run reports ended placements to other instances until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.ends:
			d.sendEnding(ctx, e)
		}
	}
}

func (d *Dispatcher) sendEnding(ctx context.Context, e ending) {
	address, ok := d.Members.AddressOf(e.to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, doneTimeout)
	defer cancel()
	_ = d.Peers.Call(ctx, address, peer.MethodDone, e.body, nil)
}
