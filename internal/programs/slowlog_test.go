// With the race detector, the simulations take most of a minute; test.sh runs this file without it.

//go:build !race

package programs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/leaders"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/admission"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// queueLog is a log whose partitions make their appends one at a time. Appends that their callers have given up are made as well.
type queueLog struct {
	*partlogtest.Log
	mu      sync.Mutex
	random  *rand.Rand
	slow    int                             // the time of an append and of an answer in multiples of those of a healthy log
	free    map[partlog.Partition]time.Time // when the partition has made all its appends
	appends int
}

const (
	// appendTime is the time of an append in a healthy log, answerTime the mean time of the answer to any call.
	appendTime = 2 * time.Millisecond
	answerTime = 4 * time.Millisecond
	// maxAppendQueue is the wait above which a partition refuses appends.
	maxAppendQueue = 2 * time.Second
)

// lateness returns how late an answer is.
func (l *queueLog) lateness() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration((0.8 + 0.4*l.random.Float64()) * float64(answerTime) * float64(l.slow))
}

// enqueue returns when a partition has made an append that comes now; ok is false if it refuses the append.
func (l *queueLog) enqueue(p partlog.Partition) (made time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	took, now := appendTime*time.Duration(l.slow), time.Now()
	if l.free[p].Sub(now) > maxAppendQueue {
		return made, false
	}
	if l.free[p].Before(now) {
		l.free[p] = now
	}
	l.free[p] = l.free[p].Add(took)
	l.appends++
	return l.free[p], true
}

// Append implements partlog.Log.
func (l *queueLog) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	type answer struct {
		first ids.Offset
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		a := answer{err: errors.Join(partlog.ErrNotApplied, errors.New("status 503"))}
		if made, ok := l.enqueue(p); ok {
			time.Sleep(time.Until(made))
			a.first, a.err = l.Log.Append(context.Background(), p, at, records...)
		}
		time.Sleep(l.lateness())
		answered <- a
	}()
	select {
	case a := <-answered:
		return a.first, a.err
	case <-ctx.Done():
		return 0, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
	}
}

// Read implements partlog.Log.
func (l *queueLog) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	page, err := l.Log.Read(ctx, p, from, wait)
	select {
	case <-time.After(l.lateness()):
		return page, err
	case <-ctx.Done():
		return partlog.Page{}, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
	}
}

// slowFleet is a fleet on a log that is slow for a time. All instances know each other.
type slowFleet struct {
	log     *queueLog
	random  *rand.Rand
	stores  []*programs.Store
	gates   []*recordgate.Gate
	members []leader.Member
	clients []*leaders.Client
	tasks   sync.WaitGroup
	mu      sync.Mutex
	results []map[string]int // of the requests that began in each second
	killed  int              // the instance that has been killed; -1 before
}

// isKilled reports whether an instance has been killed.
func (f *slowFleet) isKilled(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killed == n
}

// killLeader kills the leader of a partition, which the others go on to take for its leader.
func (f *slowFleet) killLeader(p partlog.Partition) {
	for i, client := range f.clients {
		if client.Rank(p) == 0 {
			f.mu.Lock()
			f.killed = i
			f.mu.Unlock()
		}
	}
}

// slowCaller is the network of one instance.
type slowCaller struct{ *slowFleet }

// Call implements leaders.Caller.
func (f slowCaller) Call(ctx context.Context, address, method string, params, result any) error {
	time.Sleep(callLatency)
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return err
	}
	if f.isKilled(index) {
		return errors.Join(rpc.ErrUnreachable, errors.New("connection refused"))
	}
	if method == "alive" {
		return ctx.Err()
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answered := make(chan error, 1)
	go func() {
		answer, err := f.stores[index].Methods()[method](context.Background(), data)
		if err == nil {
			data, err = json.Marshal(answer)
		}
		answered <- err
	}()
	select {
	case err := <-answered:
		switch {
		case errors.As(err, new(*jsonrpc2.Error)):
			return err
		case err != nil:
			return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Admission implements recordgate.Observer.
func (slowCaller) Admission(string, bool) {}

func newSlowFleet(size, partitions int, seed uint64) *slowFleet {
	f := &slowFleet{
		log: &queueLog{
			Log: partlogtest.New(), free: make(map[partlog.Partition]time.Time), slow: 1, random: rand.New(rand.NewPCG(seed, 2)),
		},
		random: rand.New(rand.NewPCG(seed, 1)), killed: -1,
	}
	for i := range size {
		f.members = append(f.members, leader.Member{
			Candidate: leader.Candidate{Instance: ids.InstanceID(fmt.Sprint("i", i)), Weight: 1}, Address: fmt.Sprint(i),
			Zone: ids.Zone(fmt.Sprint("z", i%simZones)),
		})
	}
	for _, m := range f.members {
		client := leaders.New(leaders.Config{
			Self: m.Instance, Zone: m.Zone, Members: func() []leader.Member { return f.members }, Caller: slowCaller{f}, Now: time.Now,
			Logger: zap.NewNop(),
		})
		f.clients = append(f.clients, client)
		gate := recordgate.New(recordgate.Config{Now: time.Now, Partitions: partitions, Observer: slowCaller{f}, Logger: zap.NewNop()})
		f.gates = append(f.gates, gate)
		f.stores = append(f.stores, programs.New(programs.Config{
			Self: m.Instance, Log: f.log, LogRetention: logRetention, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: partitions},
			Leaders: client, Writes: gate, WriteInterval: 25 * time.Millisecond, Now: time.Now, Logger: zap.NewNop(),
		}))
	}
	return f
}

// run plays programs, some new ones in each second, and returns when all have ended. The leader of a partition is
// killed in the second killAt, and slow is how much slower than usual the log is in a second.
func (f *slowFleet) run(seconds, perSecond, turns, killAt int, slow func(second int) int) {
	for second := range seconds {
		f.log.mu.Lock()
		f.log.slow = slow(second)
		f.log.mu.Unlock()
		f.mu.Lock()
		f.results = append(f.results, make(map[string]int))
		f.mu.Unlock()
		if second == killAt {
			f.killLeader(partlog.Keyspace{Name: "records", Topics: 1, Parts: 1}.Partitions()[0])
		}
		for i, s := range f.stores {
			if !f.isKilled(i) {
				f.tasks.Go(func() { s.Standby(context.Background()) })
				f.tasks.Go(func() { f.report(i) })
			}
		}
		for i := range perSecond {
			f.tasks.Go(func() { f.program(ids.ProgramID(fmt.Sprintf("%d-%d", second, i)), turns, requestTime) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	}
	f.tasks.Wait()
}

// report appends the report of an instance.
func (f *slowFleet) report(n int) {
	time.Sleep(time.Second * time.Duration(n) / time.Duration(len(f.stores)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := time.Now()
	if _, err := f.log.Append(ctx, partlog.Partition{Topic: "reports"}, partlog.AnyOffset, []byte("report")); err == nil {
		f.gates[n].Succeeded(time.Since(began))
	}
}

// program plays the turns of a program at any instances until one is not served.
func (f *slowFleet) program(id ids.ProgramID, turns int, patience time.Duration) {
	var previous call.ID
	for i := range turns {
		f.mu.Lock()
		n, results := f.random.IntN(len(f.stores)), f.results[len(f.results)-1]
		if n == f.killed {
			n = (n + 1) % len(f.stores)
		}
		f.mu.Unlock()
		name := call.ID(fmt.Sprintf("%s-%d", id, i))
		result := f.request(n, account.Key{Workspace: "w", Program: id}, name, previous, time.Now().Add(patience))
		f.mu.Lock()
		results[result]++
		f.mu.Unlock()
		if result != served {
			return
		}
		previous = name
		time.Sleep(pauseTime)
	}
}

const (
	// requestTime is the time from a request to its deadline, targetTime what the target needs of it, and pauseTime that between the
	// turns of a program.
	requestTime = 3 * time.Second
	targetTime  = 300 * time.Millisecond
	pauseTime   = 100 * time.Millisecond
)

// request does what an instance does for a turn, and returns how it ended.
func (f *slowFleet) request(n int, key account.Key, name, previous call.ID, deadline time.Time) string {
	s, now := f.stores[n], time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request := admission.Request{Deadline: deadline, Run: targetTime, First: previous == ""}
	answer := f.gates[n].Decide(request)
	if !answer.Admitted {
		return "refused: " + string(answer.Reason)
	}
	prepare, cancelPrepare := f.gates[n].Prepare(ctx, now, request)
	defer cancelPrepare()
	var chain []call.ID
	if previous != "" {
		turns, err := s.Chain(prepare, now, key, previous)
		if err != nil {
			return "refused: turn"
		}
		for _, t := range turns {
			chain = append(chain, t.ID)
		}
	}
	r, err := s.Reserve(prepare, programs.ReserveRequest{
		Key: key, Turn: string(name), Budget: 1000, Tokens: 40, Deadline: request.Deadline,
	})
	if err != nil {
		return "refused: account"
	}
	defer r.Settle(1)
	time.Sleep(targetTime)
	if r.Wait(ctx) != nil {
		return "late: account"
	}
	if s.Put(ctx, programs.Turn{ID: name, Program: key, Chain: chain, Output: make([]byte, 4000)}) != nil {
		return "late: turn"
	}
	return served
}

const served = "served"

// Guards against a slow log that becomes an outage: time-outs and second writes that a slow answer does not meet make several times
// as many appends as there is capacity for. Guards against refusals that go on for longer
// than a second after the log is fast again.
func TestSlowLogServes(t *testing.T) {
	const seconds, perSecond, slowFrom, slowUntil = 11, 70, 2, 7
	for _, test := range []struct{ instances, turns, slow, killAt int }{{40, 5, 50, -1}, {40, 5, 90, -1}, {195, 1, 60, -1}, {40, 5, 50, 4}} {
		t.Run(fmt.Sprintf("%d instances, %d turns, %d times slower, killed at %d", test.instances, test.turns, test.slow, test.killAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newSlowFleet(test.instances, 6, 1)
				f.run(seconds, perSecond, test.turns, test.killAt, func(s int) int {
					if s >= slowFrom && s < slowUntil {
						return test.slow
					}
					return 1
				})
				time.Sleep(leftoverTime)
				ok, total := 0, 0
				for second, results := range f.results {
					t.Log(second, results)
					sum := 0
					for _, n := range results {
						sum += n
					}
					switch {
					case second >= slowFrom && second < slowUntil:
						ok, total = ok+results[served], total+sum
					case second > slowUntil || second < slowFrom-1:
						c.Check(results[served], qt.Equals, sum, qt.Commentf("second %d: %v", second, results))
					}
				}
				c.Check(10*ok >= 9*total, qt.IsTrue, qt.Commentf("%d of %d served while the log was slow", ok, total))
				f.log.mu.Lock()
				defer f.log.mu.Unlock()
				t.Log(ok, "of", total, "served while slow,", f.log.appends, "appends")
			})
		})
	}
}

// failingLeader is a leader that answers after a time that it could not write.
type failingLeader struct {
	stuckLeader
	after time.Duration
}

func (l failingLeader) Do(_ context.Context, _ partlog.Partition, _ string, _, result any, _ func() error) (unanswered bool, err error) {
	time.Sleep(l.after)
	return false, json.Unmarshal([]byte(`{"failure":"notApplied"}`), result)
}

func (failingLeader) DoNext(_ context.Context, _ partlog.Partition, _ string, _, _ any, local func() error) (unanswered bool, err error) {
	return false, local()
}

// Guards against reservations that are refused because their leader fails in a slow log later than it would have been replaced in a
// fast one.
func TestLeaderThatFailsInASlowLogIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newSlowFleet(0, 1, 1)
		f.log.slow = 50
		s := programs.New(programs.Config{
			Log: f.log, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: 1}, Leaders: failingLeader{after: 1500 * time.Millisecond},
			Now: time.Now, Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithTimeout(context.Background(), requestTime)
		defer cancel()
		deadline := time.Now().Add(requestTime)
		r, err := s.Reserve(ctx, programs.ReserveRequest{Key: program, Turn: "t", Budget: 100, Tokens: 10, Deadline: deadline})
		c.Assert(err, qt.IsNil)
		r.Settle(1)
		time.Sleep(leftoverTime)
	})
}
