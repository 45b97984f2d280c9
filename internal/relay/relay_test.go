package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

var part = partlog.Partition{Topic: "t"}

// instance is an instance with its log and the address at which it serves the log to others.
type instance struct {
	log     *relay.Log
	direct  *partlogtest.Log
	address string
}

func newInstance(c *qt.C, direct *partlogtest.Log, peers func() []relay.Peer) instance {
	client, cleanup := rpc.NewClient()
	c.Cleanup(cleanup)
	l := relay.New(relay.Config{Direct: direct, Client: client, Peers: peers, Now: time.Now, Logger: zap.NewNop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() { _ = rpc.NewServer(func(error) {}, l.Methods()).Serve(listener) }()
	return instance{log: l, direct: direct, address: listener.Addr().String()}
}

func noPeers() []relay.Peer { return nil }

func notApplied(int) partlogtest.Fault { return partlogtest.Fault{Err: partlog.ErrNotApplied} }

// Guards against an instance that fails all calls because the log refuses it, or because the first instance that it calls
// instead cannot reach the log either. On the benchmark day scale-2, an instance that was cut off from the log kept calling
// another one that was cut off too.
func TestCallThroughAnotherInstance(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	cutOff := newInstance(c, partlogtest.New(), noPeers)
	cutOff.direct.SetFault(notApplied)
	peers := func() []relay.Peer {
		return []relay.Peer{
			{Instance: "lost", Address: cutOff.address, ReachesLog: true, Zone: "z"},
			{Instance: "dead", Address: "127.0.0.1:1", ReachesLog: true, Zone: "z"},
			{Instance: "helper", Address: helper.address, ReachesLog: false, Zone: "y"},
		}
	}
	direct := partlogtest.New()
	direct.SetFault(notApplied)
	me := newInstance(c, direct, peers)
	for i := range 5 {
		first, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte{byte(i)})
		c.Assert(err, qt.IsNil)
		c.Assert(int(first), qt.Equals, i)
	}
	c.Assert(me.log.Reachable(), qt.IsFalse)
	page, err := me.log.Read(context.Background(), part, 2, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Records, qt.HasLen, 3)
	var conflict *partlog.ConflictError
	_, err = me.log.Append(context.Background(), part, 3, []byte("x"))
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(int(conflict.End), qt.Equals, 5)
}

// Guards against an append that is repeated through another instance after its answer was lost.
func TestAppendWithLostAnswerIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	shared.SetFault(func(call int) partlogtest.Fault {
		return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown, Applied: call == 0}
	})
	me := newInstance(c, shared, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
	})
	_, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	c.Assert(errors.Is(err, partlog.ErrOutcomeUnknown), qt.IsTrue)
	c.Assert(shared.Records(), qt.HasLen, 1)
}

// Guards against trying the log for every call while no instance reaches it, and against never trying it again.
func TestWholeOutage(t *testing.T) {
	c := qt.New(t)
	direct := partlogtest.New()
	me := newInstance(c, direct, noPeers)
	direct.SetFault(notApplied)
	for range 50 {
		_, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
		c.Assert(errors.Is(err, partlog.ErrNotApplied), qt.IsTrue)
	}
	c.Assert(direct.Calls() <= 3, qt.IsTrue, qt.Commentf("%d calls", direct.Calls()))
	direct.SetFault(nil)
	time.Sleep(300 * time.Millisecond)
	_, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(me.log.Reachable(), qt.IsTrue)
}

// Guards against an instance that considers the log unavailable when it throttles because all instances together exceed
// its rate. On a benchmark day with increased traffic, 3,924 such refusals ended turns. An instance calls through another
// one only if all of its calls are throttled.
func TestThrottlingLog(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	direct := partlogtest.New()
	throttled := partlogtest.Fault{Err: errors.Join(partlog.ErrNotApplied, partlog.ErrThrottled)}
	me := newInstance(c, direct, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
	})
	direct.SetFault(func(call int) partlogtest.Fault {
		if call%4 != 0 {
			return throttled
		}
		return partlogtest.Fault{}
	})
	for range 40 {
		_, _ = me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	}
	c.Assert(me.log.Reachable(), qt.IsTrue)
	c.Assert(shared.Records(), qt.HasLen, 0)
	direct.SetFault(func(int) partlogtest.Fault { return throttled })
	for range 20 {
		_, _ = me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	}
	c.Assert(me.log.Reachable(), qt.IsFalse)
	c.Assert(len(shared.Records()) > 0, qt.IsTrue)
}

// someUnavailable is a log of which some partitions do not answer.
type someUnavailable struct {
	partlog.Log
	down func(p partlog.Partition) bool
}

// Append implements partlog.Log.
func (l someUnavailable) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if l.down(p) {
		return 0, partlog.ErrOutcomeUnknown
	}
	return l.Log.Append(ctx, p, at, records...)
}

// Read implements partlog.Log.
func (l someUnavailable) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	if l.down(p) {
		return partlog.Page{}, partlog.ErrOutcomeUnknown
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against an outage of some partitions that makes instances refuse calls to the others, which the log serves.
func TestOutageOfOnePartition(t *testing.T) {
	c := qt.New(t)
	down := partlog.Partition{Topic: "t", Part: 1}
	log := someUnavailable{Log: partlogtest.New(), down: func(p partlog.Partition) bool { return p == down }}
	l := relay.New(relay.Config{Direct: log, Peers: noPeers, Now: time.Now, Logger: zap.NewNop()})
	failed := 0
	for i := range 100 {
		if _, err := l.Append(context.Background(), down, partlog.AnyOffset, []byte("x")); errors.Is(err, partlog.ErrOutcomeUnknown) {
			failed++
		}
		if i%10 == 9 { // rarely enough that several calls to the other partition come in between
			_, err := l.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
			c.Assert(err, qt.IsNil, qt.Commentf("call %d", i))
		}
	}
	c.Assert(l.Reachable(), qt.IsTrue)
	c.Assert(failed <= 3, qt.IsTrue, qt.Commentf("%d calls to the unavailable partition", failed))
}

// Guards against callers that go away and are taken for an outage of the log.
func TestCancelledCallsAreNoOutage(t *testing.T) {
	c := qt.New(t)
	log := someUnavailable{Log: partlogtest.New(), down: func(partlog.Partition) bool { return true }}
	l := relay.New(relay.Config{Direct: log, Peers: noPeers, Now: time.Now, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		_, err := l.Append(ctx, part, partlog.AnyOffset, []byte("x"))
		c.Assert(errors.Is(err, partlog.ErrOutcomeUnknown), qt.IsTrue)
	}
	c.Assert(l.Reachable(), qt.IsTrue)
}

// Guards against an instance that the log does not answer, whose reports are rare and are all tried directly, so that no other
// instance learns that it cannot lead.
func TestRareAppendsGoThroughAnotherInstance(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	direct := partlogtest.New()
	direct.SetFault(func(int) partlogtest.Fault { return partlogtest.Fault{Err: partlog.ErrOutcomeUnknown} })
	me := newInstance(c, direct, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
	})
	for me.log.Reachable() {
		_, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
		c.Assert(errors.Is(err, partlog.ErrOutcomeUnknown), qt.IsTrue)
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond) // longer than the time between two probes
		_, err := me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
		c.Assert(err, qt.IsNil)
	}
}

// Guards against an instance that takes the short time that others leave for calls through it for an outage of the log.
func TestCallsThatOthersLeaveNoTimeForAreNoOutage(t *testing.T) {
	c := qt.New(t)
	slow := someUnavailable{Log: partlogtest.New(), down: func(partlog.Partition) bool { time.Sleep(30 * time.Millisecond); return true }}
	helper := relay.New(relay.Config{Direct: slow, Peers: noPeers, Now: time.Now, Logger: zap.NewNop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() { _ = rpc.NewServer(func(error) {}, helper.Methods()).Serve(listener) }()
	direct := partlogtest.New()
	direct.SetFault(notApplied)
	me := newInstance(c, direct, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: listener.Addr().String(), ReachesLog: true}}
	})
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		_, _ = me.log.Append(ctx, part, partlog.AnyOffset, []byte("x"))
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	c.Assert(helper.Reachable(), qt.IsTrue)
}

// Guards against a read that its caller has cancelled and that is taken for a failure of the instance through which it was made.
func TestCancelledReadDoesNotPauseTheHelper(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	shared.SetFault(func(int) partlogtest.Fault {
		time.Sleep(100 * time.Millisecond)
		return partlogtest.Fault{}
	})
	helper := newInstance(c, shared, noPeers)
	direct := partlogtest.New()
	direct.SetFault(notApplied)
	me := newInstance(c, direct, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := me.log.Read(ctx, part, 0, 0)
	c.Assert(err, qt.IsNotNil)
	_, err = me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	c.Assert(err, qt.IsNil)
}

// Guards against an instance whose calls go on failing after an outage of the log that is over for the others: these refuse to pass
// on calls to a partition that they do not call themselves, or are not asked again.
func TestHelpersAreBackAfterAnOutage(t *testing.T) {
	for _, ownCalls := range []bool{true, false} {
		c := qt.New(t)
		shared, direct := partlogtest.New(), partlogtest.New()
		helper := newInstance(c, shared, noPeers)
		me := newInstance(c, direct, func() []relay.Peer {
			return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
		})
		direct.SetFault(notApplied)
		shared.SetFault(notApplied)
		read := func(l *relay.Log) error {
			_, err := l.Read(c.Context(), part, 0, 0)
			return err
		}
		for range 3 {
			c.Assert(read(helper.log), qt.IsNotNil)
			c.Assert(read(me.log), qt.IsNotNil)
		}
		shared.SetFault(nil)
		for began := time.Now(); read(me.log) != nil; time.Sleep(20 * time.Millisecond) {
			if ownCalls {
				_ = read(helper.log)
			}
			c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("own calls: %v", ownCalls))
		}
		_, err := me.log.Append(c.Context(), part, partlog.AnyOffset, []byte("x"))
		c.Assert(err, qt.IsNil)
	}
}
