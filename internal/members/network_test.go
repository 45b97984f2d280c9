package members_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/members"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/slot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network connects instances in one process. A killed run refuses calls. A paused one does not answer calls and cannot
// send.
type network struct {
	c        *qt.C
	mu       sync.Mutex
	runs     map[string]*run // by address
	list     []instancelist.Instance
	listDown bool // whether the list is unavailable
	cut      func(from, to ids.InstanceID) bool
	logDown  bool // whether the log is unavailable
	next     int
}

type run struct {
	*members.Members
	net     *network
	self    slot.Member
	address string
	stop    func()
	paused  chan struct{} // nil unless paused; closed at the end of the pause
	leaving bool
	dropped []ids.InstanceID
}

func newNetwork(t *testing.T, n int) (net *network, runs []*run) {
	net = &network{c: qt.New(t), runs: map[string]*run{}, cut: func(_, _ ids.InstanceID) bool { return false }}
	for i := range n {
		runs = append(runs, net.start(ids.InstanceID(fmt.Sprintf("osu-%02d", i))))
	}
	net.eventually(3*time.Second, "all are live", func() bool {
		return !slices.ContainsFunc(runs, func(r *run) bool { return len(r.Live(time.Now())) != n })
	})
	return net, runs
}

// start begins a run of an instance at a new address and lists it in place of an earlier one.
func (net *network) start(id ids.InstanceID) *run {
	net.mu.Lock()
	net.next++
	r := &run{net: net, address: fmt.Sprintf("192.0.2.1:%d", net.next)}
	r.self = slot.Member{Instance: id, Writer: ids.WriterID(fmt.Sprintf("%s#%d", id, net.next))}
	r.Members = members.New(members.Config{
		Self: r.self, Interval: 50 * time.Millisecond, List: r, Peers: r, Describe: r.describe, Options: member.DefaultOptions(),
		Logger: zap.NewNop(),
	})
	net.runs[r.address] = r
	net.unlist(id)
	net.list = append(net.list, instancelist.Instance{ID: string(id), Kind: instancelist.Daemon, Address: r.address, State: instancelist.Live})
	net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	r.stop = sync.OnceFunc(func() {
		r.resume()
		cancel()
		<-ended
	})
	net.c.Cleanup(r.stop)
	return r
}

// unlist takes an instance out of the list. The lock is held.
func (net *network) unlist(id ids.InstanceID) {
	net.list = slices.DeleteFunc(slices.Clone(net.list), func(i instancelist.Instance) bool { return i.ID == string(id) })
}

func (net *network) eventually(within time.Duration, what string, f func() bool) (took time.Duration) {
	net.c.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if f() {
			return time.Since(began)
		}
		if time.Since(began) > within {
			net.c.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (r *run) kill() {
	r.net.mu.Lock()
	delete(r.net.runs, r.address)
	r.net.mu.Unlock()
	r.stop()
}

func (r *run) pause() {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.paused = make(chan struct{})
}

func (r *run) resume() {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	if r.paused != nil {
		close(r.paused)
		r.paused = nil
	}
}

// describe blocks while the run is paused, which stops everything that the run does.
func (r *run) describe(now time.Time) member.Self {
	r.net.mu.Lock()
	paused := r.paused
	r.net.mu.Unlock()
	if paused != nil {
		<-paused
	}
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	s := member.Self{Writer: r.self.Writer, Revision: 1, LogContact: now, Leaving: r.leaving, SuppressNoContact: !r.net.logDown}
	if r.net.logDown {
		s.LogContact = time.Time{}
	}
	return s
}

// List implements members.Lister.
func (r *run) List(context.Context) ([]instancelist.Instance, error) {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	if r.net.listDown {
		return nil, errors.New("the list is unavailable")
	}
	return slices.Clone(r.net.list), nil
}

// Drop implements members.Peers.
func (r *run) Drop(to peer.Address) {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.dropped = append(r.dropped, to.Instance)
}

// Call implements members.Peers.
func (r *run) Call(ctx context.Context, to peer.Address, m peer.Method, params, result any) error {
	r.net.mu.Lock()
	at, cut := r.net.runs[to.HostPort], r.net.cut(r.self.Instance, to.Instance)
	r.net.mu.Unlock()
	if at == nil || m != peer.MethodPing {
		return peer.ErrNotSent
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	sent, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answered := make(chan []byte, 1)
	go func() {
		var msg member.Message
		if json.Unmarshal(sent, &msg) != nil {
			return
		}
		if data, err := json.Marshal(at.Serve(r.self.Instance, msg)); err == nil {
			answered <- data
		}
	}()
	select {
	case data := <-answered:
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}
