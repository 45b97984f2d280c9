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
)

var part = partlog.Partition{Topic: "t"}

// instance is one instance's way to a log, served to the others.
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
	go func() { _ = rpc.NewServer(l.Methods()).Serve(listener) }()
	return instance{log: l, direct: direct, address: listener.Addr().String()}
}

func noPeers() []relay.Peer { return nil }

func away(int) partlogtest.Fault { return partlogtest.Fault{Err: partlog.ErrNotApplied} }

// Guards against an instance that does nothing because the log turns it away, or because the instance that it asks first
// does not help either: in bench day scale-2 a cut instance asked another cut one again and again.
func TestAnotherInstanceHelps(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	lost := newInstance(c, partlogtest.New(), noPeers)
	lost.direct.SetFault(away)
	peers := func() []relay.Peer {
		return []relay.Peer{
			{Instance: "lost", Address: lost.address, ReachesLog: true, Zone: "z"},
			{Instance: "dead", Address: "127.0.0.1:1", ReachesLog: true, Zone: "z"},
			{Instance: "helper", Address: helper.address, ReachesLog: false, Zone: "y"},
		}
	}
	direct := partlogtest.New()
	direct.SetFault(away)
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

// Guards against an append that is made a second time because its first answer was lost.
func TestLostAnswerIsNotRepeated(t *testing.T) {
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

// Guards against calls that all wait for a log which is away for everybody, and against one that is never tried again.
func TestWholeOutage(t *testing.T) {
	c := qt.New(t)
	direct := partlogtest.New()
	me := newInstance(c, direct, noPeers)
	direct.SetFault(away)
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

// Guards against an instance that takes the log for away because all instances together have reached its rate: on a grown
// day 3,924 such refusals ended turns. One that is refused every call goes through another instance.
func TestBusyLog(t *testing.T) {
	c := qt.New(t)
	shared := partlogtest.New()
	helper := newInstance(c, shared, noPeers)
	direct := partlogtest.New()
	busy := partlogtest.Fault{Err: errors.Join(partlog.ErrNotApplied, partlog.ErrThrottled)}
	me := newInstance(c, direct, func() []relay.Peer {
		return []relay.Peer{{Instance: "helper", Address: helper.address, ReachesLog: true}}
	})
	direct.SetFault(func(call int) partlogtest.Fault {
		if call%4 != 0 {
			return busy
		}
		return partlogtest.Fault{}
	})
	for range 40 {
		_, _ = me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	}
	c.Assert(me.log.Reachable(), qt.IsTrue)
	c.Assert(shared.Records(), qt.HasLen, 0)
	direct.SetFault(func(int) partlogtest.Fault { return busy })
	for range 20 {
		_, _ = me.log.Append(context.Background(), part, partlog.AnyOffset, []byte("x"))
	}
	c.Assert(me.log.Reachable(), qt.IsFalse)
	c.Assert(len(shared.Records()) > 0, qt.IsTrue)
}
