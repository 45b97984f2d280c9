package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/rate"
	"github.com/comfreylink/comfreylink/pkg/record"
)

const grantMax = 200 * time.Millisecond

// owners is a fleet with one slot, whose other instances tell every request to wait for a minute.
type owners struct {
	mu      sync.Mutex
	owner   ids.WriterID
	changed chan struct{}
}

func (o *owners) Owner(ids.Slot) (ids.WriterID, ids.Epoch, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner, 1, o.changed
}

func (o *owners) set(w ids.WriterID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = w
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *owners) Address(ids.WriterID) (peer.Address, bool) { return peer.Address{}, true }
func (o *owners) LeaseValid(time.Time) bool                 { return true }

func (o *owners) Call(_ context.Context, _ peer.Address, _ peer.Method, _, result any) error {
	*result.(*peer.Acquired) = peer.Acquired{Ticket: 1, WaitMillis: 60_000}
	return nil
}

func newLimiter(c *qt.C, owner ids.WriterID) (l *Limiter, o *owners, publish func(at ids.Offset, rate, burst int)) {
	catalog := config.New()
	apply := func(at ids.Offset, object string, document string) {
		base := ids.NoRevision
		if known, ok := catalog.Current().Object(object); ok {
			base = known.Revision
		}
		p := &record.Publish{Object: object, Base: base, Document: json.RawMessage(document)}
		c.Assert(catalog.Apply(ids.Position{Offset: at}, "operator#1", p), qt.IsNil)
	}
	apply(0, "template/brain", `{"models":[{"model":"m","pool":"p","maxInFlight":8,"defaultMaxTokens":8}],"services":[],
		"program":{"maxTurns":230,"idleTimeout":"30m","defaultDeadline":"2m"}}`)
	publish = func(at ids.Offset, rate, burst int) {
		apply(at, "workspace/ws", fmt.Sprintf(`{"templates":["brain"],"keys":[],"rate":%d,"burst":%d,"budget":1000,"weight":1}`, rate, burst))
	}
	o = &owners{owner: owner, changed: make(chan struct{})}
	l = New(Config{Self: "self#1", Slots: 1, GrantMax: grantMax, Hold: 50 * time.Millisecond, Owners: o, Peers: o, Catalog: catalog})
	return l, o, publish
}

// Guards against a request that keeps waiting for its reservation although the slot has a new owner, which does not have
// it.
func TestNewOwnerIsAskedAtOnce(t *testing.T) {
	c := qt.New(t)
	l, o, publish := newLimiter(c, "other#1")
	publish(1, 100, 10)
	time.AfterFunc(50*time.Millisecond, func() { o.set("self#1") })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	began := time.Now()
	_, refusal := l.Acquire(ctx, "ws")
	c.Assert(refusal == nil, qt.IsTrue)
	c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue)
}

// Guards against a lowered rate that applies to a bucket only from its next use (R6).
func TestLoweredRateAppliesAtOnce(t *testing.T) {
	c := qt.New(t)
	l, _, publish := newLimiter(c, "self#1")
	publish(1, 10, 1)
	start := time.Now()
	ask := func(after time.Duration) (granted bool) {
		var ticket rate.Ticket
		now := start.Add(after)
		a, _, _ := l.decide(now, "ws", &ticket, now)
		return a.Granted
	}
	c.Assert(ask(0), qt.IsFalse)
	c.Assert(ask(time.Second), qt.IsTrue)
	publish(2, 1, 1)
	l.mu.Lock()
	l.applyLimits(start.Add(time.Second + grantMax))
	l.mu.Unlock()
	c.Assert(ask(time.Second+900*time.Millisecond), qt.IsFalse)
	c.Assert(ask(2*time.Second+grantMax), qt.IsTrue)
}
