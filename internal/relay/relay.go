// Package relay reaches the platform's log through another instance while this one cannot: the log may turn away some
// instances and serve the others. Instances call each other by JSON-RPC.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/breaker"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// peerTries is how many other instances are asked for one call.
	peerTries = 3
	// probeTimeout bounds a call to a log that counts as away.
	probeTimeout = 150 * time.Millisecond
	// peerTimeout bounds a call through another instance without the time for which it is asked to wait.
	peerTimeout = 600 * time.Millisecond
	// busyInRow is how many calls in a row must be refused as too many for the log to count as away: it may turn away this
	// instance alone in that way, while all instances together only reach its rate now and then.
	busyInRow = 8
	// failedPause is how long an instance is not asked that did not reach the log either, or gave no answer.
	failedPause = 2 * time.Second
)

// Peer is another instance.
type Peer struct {
	Instance ids.InstanceID
	Address  string
	Zone     ids.Zone
	// ReachesLog is what the instance last said of its own way to the log.
	ReachesLog bool
}

// Config is what a log needs.
type Config struct {
	Direct partlog.Log
	Client *rpc.Client
	// Peers returns the other instances.
	Peers  func() []Peer
	Zone   ids.Zone
	Now    func() time.Time
	Logger *zap.Logger
}

// Log is the platform's log, directly or through another instance. It is safe for concurrent use.
type Log struct {
	Config
	mu     sync.Mutex
	direct breaker.Breaker
	busy   int // calls in a row that were refused as too many
	lost   time.Time
	helper ids.InstanceID               // the instance that answered last
	failed map[ids.InstanceID]time.Time // instances that did not help, and when
}

// New returns a log.
func New(c Config) *Log { return &Log{Config: c, failed: make(map[ids.InstanceID]time.Time)} }

// Reachable reports whether this instance reaches the log itself.
func (l *Log) Reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.direct.Open()
}

// Append implements partlog.Log.
func (l *Log) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	err = l.call(ctx, 0, false, func(ctx context.Context, log partlog.Log) (err error) {
		first, err = log.Append(ctx, p, at, records...)
		return err
	})
	return first, err
}

// Read implements partlog.Log.
func (l *Log) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	err = l.call(ctx, wait, true, func(ctx context.Context, log partlog.Log) (err error) {
		page, err = log.Read(ctx, p, from, wait)
		return err
	})
	return page, err
}

// Newest implements partlog.Log.
func (l *Log) Newest(ctx context.Context, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	err = l.call(ctx, 0, true, func(ctx context.Context, log partlog.Log) (err error) {
		entries, end, err = log.Newest(ctx, p)
		return err
	})
	return entries, end, err
}

// call makes a call directly or, where the log does not take it, through another instance. A call whose answer did not
// arrive is made again only if it is a read: otherwise the caller finds out what became of it.
func (l *Log) call(ctx context.Context, wait time.Duration, read bool, do func(context.Context, partlog.Log) error) (err error) {
	allowed, open := l.allow()
	err = errAway
	if allowed {
		err = l.callDirect(ctx, wait, open, do)
		if !errors.Is(err, partlog.ErrNotApplied) && !(read && errors.Is(err, partlog.ErrOutcomeUnknown)) {
			return err
		}
		// Another instance would only add to the calls that are too many.
		if errors.Is(err, partlog.ErrThrottled) && l.Reachable() {
			return err
		}
	}
	for range peerTries {
		peer, ok := l.pick()
		if !ok || ctx.Err() != nil {
			return err
		}
		peerCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		peerErr := do(peerCtx, &peerLog{client: l.Client, address: peer.Address})
		cancel()
		helped := !errors.Is(peerErr, partlog.ErrNotApplied)
		l.noteHelper(peer.Instance, helped)
		if helped {
			return peerErr
		}
	}
	return err
}

var errAway = errors.Join(partlog.ErrNotApplied, partlog.ErrUnavailable)

func (l *Log) allow() (allowed, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct.Allow(l.Now()), l.direct.Open()
}

func (l *Log) callDirect(ctx context.Context, wait time.Duration, open bool, do func(context.Context, partlog.Log) error) error {
	if open {
		probe, cancel := context.WithTimeout(ctx, wait+probeTimeout)
		defer cancel()
		ctx = probe
	}
	err := do(ctx, l.Direct)
	l.note(err)
	return err
}

// note takes over the outcome of a direct call. Answers that refuse a call for what it asks are answers.
func (l *Log) note(err error) {
	failed := errors.Is(err, partlog.ErrNotApplied) || errors.Is(err, partlog.ErrOutcomeUnknown)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if errors.Is(err, partlog.ErrThrottled) {
		l.busy++
		failed = l.busy >= busyInRow
		if !failed {
			return
		}
	} else {
		l.busy = 0
	}
	switch {
	case failed && l.direct.Failed(now):
		l.lost = now
		events.Log(l.Logger, events.LogContactLost, zap.String("operation", "direct"), zap.Error(err))
	case !failed && l.direct.Succeeded():
		events.Log(l.Logger, events.LogContactRegained, zap.Duration("duration", now.Sub(l.lost)))
	}
}

func (l *Log) noteHelper(id ids.InstanceID, helped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if helped {
		l.helper = id
		delete(l.failed, id)
		return
	}
	l.failed[id] = l.Now()
}

// pick returns an instance to ask: the one that helped last, or one that reached the log when it last said so, of the own
// zone if there is one. Instances that failed lately are left out.
func (l *Log) pick() (peer Peer, ok bool) {
	peers := l.Peers()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	best, ties := 0, 0
	for _, p := range peers {
		if at, failed := l.failed[p.Instance]; failed && now.Sub(at) < failedPause {
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

// score ranks an instance by how likely and how cheaply it helps.
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
