// Package dispatcher finds a target for a call: it asks the instance that keeps the queue of the call's pool, and keeps
// the queues of the pools that fall to this instance.
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
	// retryPause is the wait before another instance is asked.
	retryPause = 10 * time.Millisecond
	// doneRing bounds the endings that wait to be sent. A dropped one occupies its place until the call's deadline.
	doneRing    = 4096
	doneTimeout = time.Second
)

// Members is the view of the fleet.
type Members interface {
	Live(now time.Time) []slot.Member
	AddressOf(id ids.InstanceID) (a peer.Address, ok bool)
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
	// Programs tells which programs exist.
	Programs Programs
	// ModelPools returns the pools of engines that templates name.
	ModelPools func() []ids.PoolID
	// Options returns the options of a pool's queue, and whether its targets report their load.
	Options func(pool ids.PoolID) (o dispatch.Options, reports bool)
	Logger  *zap.Logger
}

// Dispatcher is both sides of the protocol.
type Dispatcher struct {
	Config
	mu    sync.Mutex
	pools map[ids.PoolID]*pool
	ends  chan ending
}

type ending struct {
	to   ids.InstanceID
	body peer.Done
}

// New returns a dispatcher; Run drives its queues.
func New(c Config) *Dispatcher {
	return &Dispatcher{Config: c, pools: map[ids.PoolID]*pool{}, ends: make(chan ending, doneRing)}
}

// Place waits for a target of a pool until ctx ends. It asks the live instance with the highest rendezvous score, and
// the next one if that does not answer.
func (d *Dispatcher) Place(ctx context.Context, id ids.PoolID, it dispatch.Item) (p targets.Placement, r *peer.Refusal) {
	var failed []ids.InstanceID
	for {
		at := d.dispatcherOf(id, failed)
		placed, ok := d.ask(ctx, at, peer.Place{Pool: id, Item: it})
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

func (d *Dispatcher) ask(ctx context.Context, at ids.InstanceID, ask peer.Place) (a peer.Placed, ok bool) {
	deadline, _ := ctx.Deadline()
	ask.DeadlineMillis = time.Until(deadline).Milliseconds()
	if at == d.Self {
		return d.Serve(ctx, ask), true
	}
	address, ok := d.Members.AddressOf(at)
	if !ok {
		return a, false
	}
	// A dispatcher that dies or pauses must not hold the call until its deadline.
	for ctx.Err() == nil {
		attempt, cancel := context.WithCancel(ctx)
		stop := d.watch(attempt, cancel, at)
		err := d.Peers.Call(attempt, address, peer.MethodPlace, ask, &a)
		stop()
		cancel()
		return a, err == nil
	}
	return a, false
}

// watch cancels a request when its instance is no longer live.
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

// watchInterval is how often a waiting request looks whether its dispatcher is still live.
const watchInterval = 250 * time.Millisecond

func (d *Dispatcher) live(at ids.InstanceID) bool {
	for _, m := range d.Members.Live(time.Now()) {
		if m.Instance == at {
			return true
		}
	}
	return false
}

// Done ends a placement.
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

// Run sends endings until ctx ends.
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
