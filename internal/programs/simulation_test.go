package programs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/leaders"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

const (
	simPartitions = 3
	simZones      = 3
	usualLatency  = 4 * time.Millisecond // of the log
	callLatency   = time.Millisecond
	pageRecords   = 50
)

// simulation is a fleet with a simulated log and network. It runs inside a synctest bubble. Instance i is in zone i modulo
// simZones and leads the partition of that number if it is the first one there.
type simulation struct {
	*qt.C
	log *partlogtest.Log

	mu        sync.Mutex
	random    *rand.Rand
	instances []*simInstance
	history   []checkpoint
	ended     chan struct{}
	tasks     sync.WaitGroup

	// Chances of faults, from 0 to 1: an append whose answer is lost, a call whose answer is lost, and a member that another
	// instance does not know.
	lostAppends, lostAnswers, unknownMembers float64
	// logFails are the instances that cannot reach the log.
	logFails map[int]bool
	// refused makes them notice it at once.
	refused bool
	// appendsHang are the instances whose appends get no answer, and never take effect, while their other calls are answered.
	appendsHang map[int]bool
	// forStuck counts the appends by others to partitions whose leader is among them.
	forStuck   int
	logLatency time.Duration
	// over makes all calls to the log succeed, also of runs that have ended.
	over bool
}

// simInstance is an instance, which may be restarted with an empty memory.
type simInstance struct {
	sim    *simulation
	index  int
	offset time.Duration // of its clock
	run    *simRun       // nil while it is down
	silent bool          // it has no power or is frozen, so calls to it hang
	downAt time.Time
}

// simRun is one run of an instance.
type simRun struct {
	instance  *simInstance
	store     *programs.Store
	startedAt time.Time
	ended     chan struct{}
}

// newSimulation returns a fleet whose clocks differ by up to maxOffset.
func newSimulation(t *testing.T, seed uint64, size int, maxOffset time.Duration) *simulation {
	s := &simulation{
		C: qt.New(t), log: partlogtest.New(), random: rand.New(rand.NewPCG(seed, 1)), ended: make(chan struct{}), logFails: make(map[int]bool),
		appendsHang: make(map[int]bool), logLatency: usualLatency,
	}
	for i := range size {
		in := &simInstance{sim: s, index: i, offset: time.Duration(s.random.Int64N(int64(maxOffset) + 1))}
		s.instances = append(s.instances, in)
		s.start(i)
	}
	return s
}

// stop ends all tasks. It must be called before the bubble ends.
func (s *simulation) stop() {
	close(s.ended)
	for i := range s.instances {
		s.kill(i)
	}
	s.set(func() { s.lostAppends, s.lostAnswers = 0, 0 })
	s.tasks.Wait()
	s.set(func() { s.over = true })
	time.Sleep(leftoverTime)
}

// leftoverTime is for what outlasts the run that began it, such as settlements that are repeated until they are written.
const leftoverTime = time.Minute

func (s *simulation) start(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.instances[i]
	run := &simRun{instance: in, startedAt: time.Now(), ended: make(chan struct{})}
	offset := in.offset
	now := func() time.Time { return time.Now().Add(offset) }
	discovered := make(chan struct{})
	time.AfterFunc(reportDelay, func() { close(discovered) })
	client := leaders.New(leaders.Config{
		Self: in.id(), Zone: in.zone(), Members: run.members, Discovered: discovered, Caller: run, Now: now, Logger: zap.NewNop(),
	})
	run.store = programs.New(programs.Config{
		Self: in.id(), Log: run, LogRetention: logRetention, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: simPartitions},
		Leaders: client, WriteInterval: 25 * time.Millisecond, Now: now, Logger: zap.NewNop(),
	})
	in.run, in.silent = run, false
	s.tasks.Go(run.maintain)
}

// kill ends the run of an instance.
func (s *simulation) kill(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.instances[i]; in.run != nil {
		close(in.run.ended)
		in.run, in.downAt = nil, time.Now()
	}
}

// store returns the store of an instance; nil if it is down or silent.
func (s *simulation) store(i int) *programs.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.instances[i]; in.run != nil && !in.silent {
		return in.run.store
	}
	return nil
}

func (s *simulation) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// happens reports whether something with the given chance happens.
func (s *simulation) happens(chance float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < chance
}

// chanceOf returns one of the chances of faults.
func (s *simulation) chanceOf(p *float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *p
}

// hangs reports whether the appends of an instance get no answer.
func (s *simulation) hangs(instance int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendsHang[instance] && !s.over
}

func (s *simulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (in *simInstance) id() ids.InstanceID { return ids.InstanceID(fmt.Sprint("i", in.index)) }

func (in *simInstance) zone() ids.Zone { return ids.Zone(fmt.Sprint("z", in.index%simZones)) }

// maintain does what an instance does from time to time.
func (r *simRun) maintain() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for i := 1; ; i++ {
		select {
		case <-r.ended:
			return
		case <-ticker.C:
		}
		r.store.Standby(context.Background())
		if i%5 == 0 {
			r.store.DropOld(time.Now().Add(r.instance.offset), turnRetention)
		}
	}
}

const (
	// reportDelay is how long after its start an instance knows the others, and is known to them.
	reportDelay = 500 * time.Millisecond
	// memberDelay is how long an instance that is gone is still known to the others.
	memberDelay = 4 * time.Second
)

// members is the view of one instance on the fleet. The weights make the instance with the lowest number the first of its zone.
func (r *simRun) members() (l []leader.Member) {
	s := r.instance.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, in := range s.instances {
		if in != r.instance {
			known := in.run != nil && now.Sub(in.run.startedAt) >= reportDelay || now.Sub(in.downAt) < memberDelay
			if !known || now.Sub(r.startedAt) < reportDelay || s.random.Float64() < s.unknownMembers {
				continue
			}
		}
		weight := 1 + 1e9/float64(uint64(1)<<(8*min(in.index/simZones, 5)))
		l = append(l, leader.Member{
			Candidate: leader.Candidate{Instance: in.id(), Weight: weight}, Address: fmt.Sprint(in.index), Zone: in.zone(),
		})
	}
	return l
}

// Call implements leaders.Caller. Parameters and results are encoded as between instances.
func (r *simRun) Call(ctx context.Context, address, method string, params, result any) error {
	s := r.instance.sim
	time.Sleep(callLatency)
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return err
	}
	s.mu.Lock()
	callee, silent := s.instances[index].run, s.instances[index].silent
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return errors.Join(rpc.ErrUnreachable, ctx.Err())
	case callee == nil:
		return errors.Join(rpc.ErrUnreachable, errors.New("connection refused"))
	case method == "alive":
		return nil
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	type answer struct {
		result any
		err    error
	}
	answered := make(chan answer, 1)
	go func() {
		result, err := callee.store.Methods()[method](context.Background(), data)
		answered <- answer{result, err}
	}()
	select {
	case a := <-answered:
		s.mu.Lock()
		silent, lost := s.instances[index].silent, s.random.Float64() < s.lostAnswers
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return ctx.Err()
		case lost:
			return errors.New("connection closed")
		case errors.As(a.err, new(*jsonrpc2.Error)):
			return a.err
		case a.err != nil:
			return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: a.err.Error()}
		}
		if data, err = json.Marshal(a.result); err != nil {
			return err
		}
		return json.Unmarshal(data, result)
	case <-callee.ended:
		return errors.New("connection closed")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements partlog.Log. An append whose answer is lost may take effect at once, seconds later or never.
func (r *simRun) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	s := r.instance.sim
	if err := r.reachLog(ctx); err != nil {
		return 0, err
	}
	s.checkpoint()
	if s.hangs(r.instance.index) {
		<-ctx.Done()
		return 0, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
	}
	if s.hangs(p.Part) {
		s.set(func() { s.forStuck++ })
	}
	if !s.happens(s.chanceOf(&s.lostAppends)) {
		return s.log.Append(ctx, p, at, records...)
	}
	switch s.intN(3) {
	case 0:
		_, _ = s.log.Append(ctx, p, at, records...)
	case 1:
		time.AfterFunc(time.Duration(s.intN(4000))*time.Millisecond, func() { _, _ = s.log.Append(context.Background(), p, at, records...) })
	}
	<-ctx.Done()
	return 0, errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
}

// Read implements partlog.Log. A page has at most pageRecords records.
func (r *simRun) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	if err := r.reachLog(ctx); err != nil {
		return partlog.Page{}, err
	}
	r.instance.sim.checkpoint()
	page, err := r.instance.sim.log.Read(ctx, p, from, wait)
	page.Records = page.Records[:min(len(page.Records), pageRecords)]
	return page, err
}

// Newest implements partlog.Log.
func (r *simRun) Newest(context.Context, partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	return nil, 0, errors.New("not supported")
}

// reachLog waits for as long as a call takes. It returns an error if the run has ended or cannot reach the log.
func (r *simRun) reachLog(ctx context.Context) error {
	s := r.instance.sim
	s.mu.Lock()
	latency, over := s.logLatency, s.over
	s.mu.Unlock()
	time.Sleep(latency)
	if over {
		return ctx.Err()
	}
	select {
	case <-r.ended:
		return unavailable
	default:
	}
	s.mu.Lock()
	fails, kind := s.logFails[r.instance.index] || r.instance.silent, s.random.IntN(3)
	if s.refused {
		kind = 0
	}
	s.mu.Unlock()
	switch {
	case !fails:
		return ctx.Err()
	case kind == 0:
		return unavailable
	case kind == 1:
		return partlog.ErrNotApplied
	}
	<-ctx.Done()
	return errors.Join(partlog.ErrOutcomeUnknown, ctx.Err())
}

// checkpoint deletes the records that are older than the retention of the log.
func (s *simulation) checkpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if n := len(s.history); n > 0 && now.Sub(s.history[n-1].at) < time.Second {
		return
	}
	end := make(map[partlog.Partition]ids.Offset)
	for _, p := range simParts() {
		end[p] = s.log.End(p)
	}
	s.history = append(s.history, checkpoint{now, end})
	for now.Sub(s.history[0].at) >= logRetention {
		for p, offset := range s.history[0].end {
			s.log.ForgetBefore(p, offset)
		}
		s.history = s.history[1:]
	}
}

func simParts() []partlog.Partition {
	return partlog.Keyspace{Name: "records", Topics: 1, Parts: simPartitions}.Partitions()
}
