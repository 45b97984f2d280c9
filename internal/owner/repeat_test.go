package owner_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/owner"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/pace"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

const self ids.WriterID = "self#1"

// memoryLog is a log of one stream, whose reads can be made to fail.
type memoryLog struct {
	mu      sync.Mutex
	entries []logservice.Entry
	failing bool
	// appendsPaused holds up appends until it is closed; nil if they are not held up.
	appendsPaused chan struct{}
}

func (l *memoryLog) Append(_ context.Context, _ ids.Stream, data []byte) (ids.Offset, error) {
	l.mu.Lock()
	paused := l.appendsPaused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := ids.Offset(len(l.entries))
	l.entries = append(l.entries, logservice.Entry{Offset: o, Data: data})
	return o, nil
}

func (l *memoryLog) Read(_ context.Context, _ ids.Stream, from ids.Offset, _ int, _ time.Duration) (p logservice.Page, err error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return p, errors.New("the log is unavailable")
	}
	return logservice.Page{AtEnd: true, Next: ids.Offset(len(l.entries)), Entries: l.entries[min(int(from), len(l.entries)):]}, nil
}

func (l *memoryLog) pauseAppends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsPaused = make(chan struct{})
}

func (l *memoryLog) resumeAppends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.appendsPaused)
	l.appendsPaused = nil
}

func (l *memoryLog) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

// Open implements slots.Streams.
func (l *memoryLog) Open(_ ids.Slot, fold replay.Fold) (*journal.Journal, func(), error) {
	return journal.New(journal.Config{Stream: "slot-000", Writer: self, Log: l, Fold: fold, Pace: pace.New(time.Now(), 1e6), Logger: zap.NewNop(), Now: time.Now})
}

type always struct{}

func (always) LeaseValid(time.Time) bool { return true }

// noTargets has no target for a call, and records the calls that ask for one.
type noTargets struct {
	targets.Targets
	calls []dispatch.Item
}

func (n *noTargets) Request()                                          {}
func (n *noTargets) Suspected(ids.WorkspaceID, ids.Fingerprint) bool   { return false }
func (n *noTargets) Quarantined(ids.WorkspaceID, ids.Fingerprint) bool { return false }
func (n *noTargets) Place(_ context.Context, _ ids.PoolID, it dispatch.Item) (targets.Placement, *peer.Refusal) {
	n.calls = append(n.calls, it)
	return targets.Placement{}, &peer.Refusal{Code: peer.CodeDeadline, Run: peer.NotRun}
}

// unusedGrant is a rate token that is always usable.
type unusedGrant struct{}

func (unusedGrant) Usable(time.Time) bool { return true }
func (unusedGrant) Used()                 {}
func (unusedGrant) Unused()               {}

// oneTarget has a target for the first call only. Its answer is followed by a pause of the log's appends. Later calls are
// refused as not run.
type oneTarget struct {
	noTargets
	log *memoryLog
}

func (o *oneTarget) Place(ctx context.Context, pool ids.PoolID, it dispatch.Item) (targets.Placement, *peer.Refusal) {
	if len(o.calls) > 0 {
		return o.noTargets.Place(ctx, pool, it)
	}
	o.calls = append(o.calls, it)
	return targets.Placement{Target: "t"}, nil
}

func (o *oneTarget) Acquire(context.Context, ids.WorkspaceID) (targets.Grant, *peer.Refusal) {
	return unusedGrant{}, nil
}
func (o *oneTarget) Done(targets.Placement, dispatch.Outcome, record.Usage) {}
func (o *oneTarget) Survived(ids.WorkspaceID, ids.Fingerprint)              {}
func (o *oneTarget) Chat(context.Context, string, engine.Request, func(engine.Chunk) error) (engine.Answer, error) {
	o.log.pauseAppends()
	return engine.Answer{Message: record.Message{Role: "assistant", Content: json.RawMessage(`"a"`)}}, nil
}

func newCatalog(c *qt.C) *config.Catalog {
	catalog := config.New()
	for i, d := range []struct{ object, document string }{
		{"template/brain", `{"models":[{"model":"m","pool":"p","maxInFlight":8,"defaultMaxTokens":8}],"services":[],
			"program":{"maxTurns":230,"idleTimeout":"30m","defaultDeadline":"2m"}}`},
		{"workspace/ws", `{"templates":["brain"],"keys":[],"rate":9,"burst":9,"budget":100000,"weight":1}`},
	} {
		p := &record.Publish{Object: d.object, Base: ids.NoRevision, Document: json.RawMessage(d.document)}
		c.Assert(catalog.Apply(ids.Position{Offset: ids.Offset(i)}, "operator#1", p), qt.IsNil)
	}
	return catalog
}

// Guards against a repeated model call that runs on a history that already holds its turn (R1): the turn of the first call
// is kept while the repeated one waits for the log.
func TestRepeatedCallFindsTheTurnKeptMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log, to := &memoryLog{}, &noTargets{}
		o, owned, cleanup := newOwner(c, log, to)
		defer cleanup()

		log.setFailing(true)
		time.Sleep(5 * time.Second)
		call := newCall(20 * time.Second)
		answered := make(chan peer.Result, 1)
		go func() { answered <- o.Call(context.Background(), 0, call, nil) }()
		time.Sleep(time.Second)
		stored, err := json.Marshal(peer.ChatResult{})
		c.Assert(err, qt.IsNil)
		c.Assert(owned.Slot(0).Submit(&record.Turn{
			Epoch: 1, Workspace: "ws", Program: "p", Key: "k", Fingerprint: "f", Response: stored, UnixMilli: time.Now().UnixMilli(),
		}), qt.IsNil)
		time.Sleep(time.Second)
		log.setFailing(false)
		r := <-answered
		c.Check(r.Refusal == nil, qt.IsTrue, qt.Commentf("%+v", r.Refusal))
		c.Check(r.Trace.Replayed, qt.IsTrue)
		c.Check(to.calls, qt.HasLen, 0)
	})
}

// newOwner returns an owner of slot 0.
func newOwner(c *qt.C, log *memoryLog, to targets.Targets) (o *owner.Owner, owned *slots.Slots, cleanup func()) {
	owned, cleanup = slots.New(slots.Config{Self: self, KeyRetention: time.Hour, Streams: log, Lease: always{}, Logger: zap.NewNop()})
	owned.Update(map[ids.Slot]ids.Epoch{0: 1})
	o = owner.New(owner.Config{Self: self, Instance: "self", Slots: owned, Targets: targets.Access{Targets: to, Catalog: newCatalog(c)}})
	<-owned.Slot(0).Ready()
	return o, owned, cleanup
}

// newCall returns a model call; two with the same deadline are equal.
func newCall(deadline time.Duration) peer.Call {
	return peer.Call{
		Kind: peer.KindChat, Workspace: "ws", Program: "p", RequestKey: "k", Fingerprint: "f", DeadlineMillis: ids.Millis(deadline),
		Chat: &peer.ChatCall{Model: "m", Messages: []record.Message{}},
	}
}

// Guards against a repeated model call that is refused as not run while the turn of the first call is still being written, so
// that its caller does not know of a turn in the program's history (R8). The repeated call waits for the first one in the
// program's queue, or ends the wait for a target after the first one has ended without knowing what became of its record.
func TestRepeatedCallOfUndecidedKeyIsUnknown(t *testing.T) {
	for _, second := range []struct {
		name     string
		deadline time.Duration
	}{{"in the queue", time.Second}, {"for a target", 20 * time.Second}} {
		t.Run(second.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := &memoryLog{}
				o, _, cleanup := newOwner(c, log, &oneTarget{log: log})
				defer cleanup()
				first := make(chan peer.Result, 1)
				go func() { first <- o.Call(context.Background(), 0, newCall(5*time.Second), nil) }()
				time.Sleep(time.Second)
				defer log.resumeAppends()
				otherProgram := newCall(time.Second)
				otherProgram.Program = "q"
				r := o.Call(context.Background(), 0, otherProgram, nil)
				c.Check(r.Refusal.Run, qt.Equals, peer.NotRun, qt.Commentf("the key of another program"))
				r = o.Call(context.Background(), 0, newCall(second.deadline), nil)
				c.Assert(r.Refusal, qt.IsNotNil)
				c.Check(r.Refusal.Run, qt.Equals, peer.Unknown, qt.Commentf("%+v", r.Refusal))
				<-first
			})
		})
	}
}
