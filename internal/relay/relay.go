// Package relay calls the platform's log through another instance while this one cannot reach it, because the log may
// refuse some instances and serve others. Instances call each other by JSON-RPC.
package relay

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/hedge"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// peerTries is the maximum number of other instances through which one call is tried.
	peerTries = 3
	// probeTimeout bounds a probe of a partition that is considered unavailable, and probeWait is how long the call waits for it that
	// caused it. A log that answers later is slow, but not unavailable.
	probeTimeout = time.Second
	probeWait    = 150 * time.Millisecond
	// repeatReserve is the number of reads that may be made again without earlier ones; later it is one in ten.
	repeatReserve = 2
	// peerTimeout bounds a call through another instance. The time for which a read waits for records is added.
	peerTimeout = 600 * time.Millisecond
	// failedPause is how long another instance is not called for a partition after it did not answer, and refusedPause after it
	// answered that it does not reach the partition either. That may end at any time, and to ask again costs little.
	failedPause  = 2 * time.Second
	refusedPause = 250 * time.Millisecond
)

// Peer is another instance.
type Peer struct {
	Instance ids.InstanceID
	Address  string
	Zone     ids.Zone
	// CPU is the instance's share of a core according to its last report.
	CPU float64
	// ReachesLog reports whether the instance reached the log directly according to its last report.
	ReachesLog bool
}

// Caller calls methods of other instances.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds a log's dependencies.
type Config struct {
	// Direct calls the log without another instance.
	Direct partlog.Log
	Client Caller
	// Peers returns the other instances.
	Peers func() []Peer
	// MayPassOn reports whether a call that concerns a partition may be made through another instance; nil allows all.
	MayPassOn func(p partlog.Partition, peer Peer) bool
	Zone      ids.Zone
	Now       func() time.Time
	Logger    *zap.Logger
}

// Log is the platform's log, called directly or through another instance. It is safe for concurrent use.
type Log struct {
	Config
	mu  sync.Mutex
	all contact // to the log as a whole
	// contacts are those to single partitions, since some may be unavailable while others answer.
	contacts       map[partlog.Partition]*contact
	throttledInRow int            // consecutive throttled direct calls
	helper         ids.InstanceID // the last instance that passed on a call
	failed         map[route]time.Time
	// repeats bounds the reads that are made again because they were not answered: if the log is slow for all instances, these make it
	// slower.
	repeats *hedge.Budget
}

// route is a way to a partition through another instance. Log.failed has those that failed, and until when they are not tried.
type route struct {
	peer      ids.InstanceID
	partition partlog.Partition
}

// New returns a log that is considered available.
func New(c Config) *Log {
	return &Log{Config: c, contacts: make(map[partlog.Partition]*contact), failed: make(map[route]time.Time), repeats: hedge.NewBudgetOf(repeatReserve)}
}

// Append implements partlog.Log.
func (l *Log) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	err = l.call(ctx, p, 0, appendCall, func(ctx context.Context, log partlog.Log) (err error) {
		first, err = log.Append(ctx, p, at, records...)
		return err
	})
	return first, err
}

// Read implements partlog.Log.
func (l *Log) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	err = l.call(ctx, p, wait, kindOfRead(from), func(ctx context.Context, log partlog.Log) (err error) {
		page, err = log.Read(ctx, p, from, wait)
		return err
	})
	return page, err
}

// Newest implements partlog.Log.
func (l *Log) Newest(ctx context.Context, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	err = l.call(ctx, p, 0, readCall, func(ctx context.Context, log partlog.Log) (err error) {
		entries, end, err = log.Newest(ctx, p)
		return err
	})
	return entries, end, err
}

// call makes a call directly or, if it was not applied, through another instance. A direct call with an unknown outcome is
// repeated only if it is a read and the budget for that allows it; after an append the caller must find out whether it took effect. A
// call to a partition that is considered unavailable goes through other instances, unless the answer to a probe comes first.
func (l *Log) call(ctx context.Context, p partlog.Partition, wait time.Duration, kind callKind,
	do func(context.Context, partlog.Log) error,
) (err error) {
	err = errUnavailable
	l.repeats.Count()
	if l.reachesAfterProbe(ctx, p) {
		err = l.callDirect(ctx, p, kind, do)
		if !errors.Is(err, partlog.ErrNotApplied) && !(kind != appendCall && errors.Is(err, partlog.ErrOutcomeUnknown) && l.repeats.Allow(l.Now())) {
			return err
		}
		// Another try through another instance would only add to the load of a log that throttles.
		if errors.Is(err, partlog.ErrThrottled) && l.reaches(p) {
			return err
		}
	}
	if helped, peerErr := l.callPeers(ctx, p, wait, do); helped {
		return peerErr
	}
	return err
}

// callPeers makes a call through other instances, until one has passed it on or the caller has ended it. helped is false if none
// did.
func (l *Log) callPeers(ctx context.Context, p partlog.Partition, wait time.Duration, do func(context.Context, partlog.Log) error) (helped bool, err error) {
	for range peerTries {
		peer, ok := l.pickPeer(p)
		if !ok || ctx.Err() != nil {
			return false, nil
		}
		began := l.Now()
		peerCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		err := do(peerCtx, &peerLog{client: l.Client, address: peer.Address})
		cancel()
		helped := !errors.Is(err, partlog.ErrNotApplied)
		if !helped && endedByCaller(ctx, l.Now().Sub(began)) {
			return true, err
		}
		l.recordPeer(route{peer.Instance, p}, err)
		if helped {
			return true, err
		}
		if errors.Is(err, partlog.ErrOutcomeUnknown) && !l.repeats.Allow(l.Now()) {
			return false, nil
		}
	}
	return false, nil
}

var errUnavailable = errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable)

// recordPeer records whether another instance has passed on a call to a partition.
func (l *Log) recordPeer(r route, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !errors.Is(err, partlog.ErrNotApplied) {
		l.helper = r.peer
		delete(l.failed, r)
		return
	}
	pause := failedPause
	if rpc.IsAnswer(err) {
		pause = refusedPause
	}
	now := l.Now()
	maps.DeleteFunc(l.failed, func(_ route, until time.Time) bool { return !now.Before(until) })
	l.failed[r] = now.Add(pause)
}

// pickPeer returns an instance to call the log through. It prefers the last one that passed on a call, then instances
// that reported to reach the log directly, then instances of the same zone. Instances that failed for the partition
// are left out for a while.
func (l *Log) pickPeer(partition partlog.Partition) (peer Peer, ok bool) {
	peers := l.Peers()
	if l.MayPassOn != nil {
		peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !l.MayPassOn(partition, p) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	best, ties := 0, 0
	for _, p := range peers {
		if now.Before(l.failed[route{p.Instance, partition}]) {
			continue
		}
		score := l.score(p)
		if score > best {
			best, ties = score, 0
		}
		if score == best {
			ties++
			if rand.IntN(ties) == 0 {
				peer = p
			}
		}
	}
	return peer, best > 0
}

// score ranks an instance by how likely a call through it succeeds and how cheap it is.
func (l *Log) score(p Peer) int {
	score := 1
	if p.Zone == l.Zone {
		score++
	}
	if p.ReachesLog {
		score += 2
	}
	if p.Instance == l.helper {
		score += 4
	}
	return score
}
