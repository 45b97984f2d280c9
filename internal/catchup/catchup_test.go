package catchup

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stub is a journal whose revision is its last offset, and also the members and peers: one peer, which serves entries of
// another journal.
type stub struct {
	mu       sync.Mutex
	entries  []logservice.Entry
	fresh    time.Time
	other    *Catchup
	requests int
}

func (s *stub) Status() journal.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return journal.Status{Next: ids.Offset(len(s.entries)), Fresh: s.fresh}
}

func (s *stub) revision() ids.Revision { return ids.Revision(s.Status().Next) - 1 }

func (s *stub) Recent(from ids.Offset) (p logservice.Page, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := ids.Offset(len(s.entries))
	if from >= next {
		return p, false
	}
	return logservice.Page{Next: next, Entries: s.entries[from:]}, true
}

func (s *stub) Feed(from ids.Offset, p logservice.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries[:from:from], p.Entries...)
	return nil
}

func (s *stub) Ahead(r ids.Revision) []peer.Address {
	if s.other == nil || s.other.Revision() <= r {
		return nil
	}
	return []peer.Address{{Instance: "other"}}
}

func (s *stub) Call(_ context.Context, _ peer.Address, m peer.Method, params, result any) error {
	s.mu.Lock()
	s.requests++
	failed := s.requests == 1
	s.mu.Unlock()
	if m != peer.MethodEntries || failed {
		return errors.New("failed")
	}
	*result.(*peer.EntryPage) = s.other.Serve(params.(peer.Entries))
	return nil
}

func newCatchup(s *stub) *Catchup {
	return New(Config{Journal: s, Members: s, Peers: s, Revision: s.revision, Logger: zap.NewNop()})
}

// Guards against a daemon that cannot read the log and does not learn of a withdrawn key, for example because it gives
// up after a failed request to a peer.
func TestEntriesComeFromAPeer(t *testing.T) {
	c := qt.New(t)
	here := &stub{entries: make([]logservice.Entry, 2), fresh: time.Now().Add(-unreadAfter)}
	here.other = newCatchup(&stub{entries: make([]logservice.Entry, 5)})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- newCatchup(here).Run(ctx) }()
	for began := time.Now(); here.revision() != 4; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the entries were not applied within 5s")
		}
	}
	cancel()
	c.Assert(<-ended, qt.IsNil)
	c.Assert(here.requests, qt.Equals, 2)
}

// Guards against requests to peers while the log can be read or no peer has a newer configuration, and against a peer
// that lacks the requested entries and does not say so.
func TestPeersAreNotAskedWithoutNeed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	here := &stub{entries: make([]logservice.Entry, 2), fresh: now.Add(-unreadAfter + 1)}
	there := newCatchup(&stub{entries: make([]logservice.Entry, 5)})
	here.other = there
	_, ok := newCatchup(here).due(now)
	c.Check(ok, qt.IsFalse)
	_, ok = newCatchup(here).due(now.Add(1))
	c.Check(ok, qt.IsTrue)
	c.Check(there.Serve(peer.Entries{From: 5}).Missing, qt.IsTrue)
	here.fresh = time.Time{}
	_, ok = newCatchup(here).due(now.Add(1))
	c.Check(ok, qt.IsFalse)
	here.fresh = now.Add(-unreadAfter)
	here.entries = make([]logservice.Entry, 5)
	_, ok = newCatchup(here).due(now.Add(1))
	c.Check(ok, qt.IsFalse)
}
