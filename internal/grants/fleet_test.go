// The race detector's runtime crashes in processes that have run many simulated fleets; test.sh runs these files without it.

//go:build !race

package grants_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/alive"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/logcache"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Times of the simulated network and log.
const (
	networkDelay = time.Millisecond
	logDelay     = 4 * time.Millisecond
	// storeCallTimeout bounds a call to the log, as the store's client does.
	storeCallTimeout = 4 * time.Second
	// maxAppendQueue is the time that the appends to a partition may wait for. The log refuses those that would wait longer.
	maxAppendQueue = 2 * time.Second
	// slowAppendTime is how long a slow log takes for an append.
	slowAppendTime = 100 * time.Millisecond
	// simCallsPerSecond is the log's limit of calls.
	simCallsPerSecond = 3200
	// restorers is the number of instances that read the records of programs.
	restorers = 12
	// slowLogDelay is the delay of each way of a call to a slow log.
	slowLogDelay = 150 * time.Millisecond
	// maxLateAppend is how much later an append may take effect whose answer was lost.
	maxLateAppend = 6 * time.Second
)

// hotWorkspace is the workspace whose requests the tests count.
const hotWorkspace ids.WorkspaceID = "ws"

// configPartition holds the configuration, of which only the size matters.
var configPartition = partlog.Partition{Topic: "config"}

// directoryPartition holds the readers of the zones.
var directoryPartition = partlog.Partition{Topic: "readers"}

// targetsPartition holds the targets, of which only the size matters.
var targetsPartition = partlog.Partition{Topic: "targets"}

// simZones is the number of zones of a fleet.
const simZones = 5

var errUnknownOutcome = errors.Join(partlog.ErrOutcomeUnknown, errors.New("simulated"))

// logState is what instances see of the log.
type logState int

const (
	logUp logState = iota
	logSilent
	logRefusing
	logSlow
	// logLosingAnswers applies appends, some of them seconds later, and answers none.
	logLosingAnswers
)

// simFleet is a set of instances in one process, with real limiters and reports, and a simulated network, log and clocks.
// It runs inside a synctest bubble, so it is deterministic but for the order of goroutines that wake at the same time.
type simFleet struct {
	log *partlogtest.Log

	mu        sync.Mutex
	random    *rand.Rand
	name      ids.WorkspaceID // of the limit
	instances map[ids.InstanceID]*simInstance
	limit     quota.Limit
	limits    map[ids.WorkspaceID]quota.Limit // of several workspaces, instead of name and limit; nil for one
	// appendTime is how long the log takes for an append of a partition, one after the other, and hop the longest further delay
	// of a call at an instance.
	appendTime, hop time.Duration
	appending       map[partlog.Partition]time.Time // when the appends end that the log has accepted
	// readRate is how many bytes a second the log sends to all readers together, one read after the other; 0 for no limit.
	// configBytes is the size of the configuration, which each new run reads.
	readRate, configBytes int
	// targetsBytes is the size of the newest entries of the targets.
	targetsBytes int
	slow         bool // the log, for all
	// restoreBytes is what each of restorers instances reads of the records of programs after its start.
	restoreBytes int
	// shareReads is set if instances know the log's rate and read through one of their zone.
	shareReads   bool
	sendingUntil time.Time
	lowered      time.Time // when the last instance has applied a lowered limit; zero if it was not lowered
	runs         int
	closed       bool
}

// simInstance is one machine. Its process is replaced at each restart.
type simInstance struct {
	fleet *simFleet
	id    ids.InstanceID
	zone  ids.Zone

	// Guarded by fleet.mu.
	process     *simProcess // nil while it is down
	clockOffset time.Duration
	log         logState
	cut         bool          // from all other instances
	slow        time.Duration // longest further delay of each step of a call at the instance
	frozenUntil time.Time
}

// simProcess is one run of an instance.
type simProcess struct {
	*simInstance
	limiter *grants.RateLimiter
	reports *reports.Reports
	// followed is the log for the partitions that all instances follow.
	followed *logcache.Log
	// relayed calls the store directly or through other instances.
	relayed  *relay.Log
	follower *follower.Follower
	began    time.Time
	methods  map[string]rpc.Method
	leaving  bool // guarded by fleet.mu
	killed   chan struct{}
	stop     context.CancelFunc
	stopped  chan struct{}
}

func newSimFleet(seed uint64, limit quota.Limit, count int) *simFleet {
	return newSimFleetOf(seed, hotWorkspace, limit, count)
}

// newSimFleetOf returns a fleet that shares the limit with the given name.
func newSimFleetOf(seed uint64, name ids.WorkspaceID, limit quota.Limit, count int) *simFleet {
	f := &simFleet{
		log: partlogtest.New(), random: rand.New(rand.NewPCG(seed, 0)), name: name, instances: make(map[ids.InstanceID]*simInstance),
		limit: limit, appending: make(map[partlog.Partition]time.Time),
	}
	for i := range count {
		f.add(ids.InstanceID(fmt.Sprint("i", i)))
	}
	return f
}

// all returns the instances.
func (f *simFleet) all() (l []*simInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		l = append(l, i)
	}
	slices.SortFunc(l, func(a, b *simInstance) int { return strings.Compare(string(a.id), string(b.id)) })
	return l
}

// close kills all instances for good.
func (f *simFleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, i := range f.all() {
		i.kill()
	}
	time.Sleep(time.Minute)
}

// lowerLimit lowers the limit. Each instance applies it after up to configDelay, or later if it is frozen.
func (f *simFleet) lowerLimit(limit quota.Limit) {
	f.mu.Lock()
	f.limit = limit
	f.mu.Unlock()
	for _, i := range f.all() {
		time.AfterFunc(time.Duration(f.intN(int(configDelay))), func() {
			i.waitWhileFrozen()
			f.mu.Lock()
			p := i.process
			f.mu.Unlock()
			if p != nil {
				p.configure(limit)
			}
			f.mu.Lock()
			f.lowered = time.Now()
			f.mu.Unlock()
		})
	}
}

func (f *simFleet) add(id ids.InstanceID) *simInstance {
	f.mu.Lock()
	i := &simInstance{fleet: f, id: id, zone: ids.Zone(fmt.Sprint("z", len(f.instances)%simZones))}
	f.instances[id] = i
	f.mu.Unlock()
	i.start()
	return i
}

// intN returns a random number below n. It is safe for concurrent use.
func (f *simFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// start starts a new run of the instance.
func (i *simInstance) start() {
	f := i.fleet
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.runs++
	p := &simProcess{simInstance: i, began: time.Now(), killed: make(chan struct{}), stopped: make(chan struct{})}
	offset := i.clockOffset
	now := func() time.Time { return time.Now().Round(0).Add(offset) }
	run, limit := fmt.Sprint("run", f.runs), f.limit
	f.mu.Unlock()
	p.limiter = grants.New(grants.Config{
		Self: quota.Run{Instance: i.id, ID: run}, Client: p, Now: now,
		Address: func(id ids.InstanceID) (string, bool) { return p.reports.AddressOf(id) },
		Claim:   func(ctx context.Context, s quota.Shard) { p.reports.Claim(ctx, s) },
	})
	paced := pacedlog.New(pacedlog.Config{Direct: simStore{p}, CallsPerSecond: simCallsPerSecond, Now: now, Observer: uncounted{}, Logger: zap.NewNop()})
	p.relayed = relay.New(relay.Config{
		Direct: paced, Client: p, Peers: func() []relay.Peer { return p.reports.Peers() }, Zone: i.zone, Now: now, Logger: zap.NewNop(),
	})
	readRate := 0
	if f.shareReads {
		readRate = f.readRate
	}
	p.followed = logcache.New(logcache.Config{
		Self: i.id, Zone: i.zone, Log: p.relayed, Members: func() []leader.Member { return p.reports.Members() }, Discovered: func() bool { return p.reports.PeersKnown() }, Caller: p,
		Discovery: reports.Partition, Directory: logcache.Directory{Partition: directoryPartition, Encode: encodeKeyed},
		ReadRate: readRate, Backlogs: map[partlog.Partition]ids.Offset{configPartition: 0, targetsPartition: 0, reports.Partition: reports.ReaderBacklog}, Now: now, Logger: zap.NewNop(),
	})
	p.reports = reports.New(reports.Config{
		Self: relay.Peer{Instance: i.id, Address: string(i.id), Zone: i.zone, CPU: 1}, RunID: run, Log: p.relayed, Followed: p.followed, Grants: p.limiter,
		Reachable: p.relayed.Reachable, Leaving: p.isLeaving, Now: now, Logger: zap.NewNop(),
	})
	p.follower = p.newFollower(now)
	p.methods = p.limiter.Methods()
	maps.Copy(p.methods, p.followed.Methods())
	maps.Copy(p.methods, p.relayed.Methods())
	maps.Copy(p.methods, alive.Methods())
	p.configure(limit)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.stopped)
		_ = p.reports.Run(ctx)
	}()
	go func() { _ = p.followed.Run(ctx) }()
	if f.configBytes > 0 {
		go func() { _ = p.follower.FollowConfig(ctx) }()
		go func() { _ = p.follower.FollowTargets(ctx) }()
		if f.restarted() {
			go p.restore(ctx)
		}
	}
	f.mu.Lock()
	i.process = p
	f.mu.Unlock()
}

// restarted reports whether instances have been started again, so that there are records of programs to read.
func (f *simFleet) restarted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs > len(f.instances)
}

func (p *simProcess) configure(limit quota.Limit) {
	limits := p.fleet.limits
	if limits == nil {
		limits = map[ids.WorkspaceID]quota.Limit{p.fleet.name: limit}
	}
	p.limiter.View(func(l *quota.Limiter) { l.Configure(p.limiter.Now(), limits) })
}

// append appends to the log, which takes appendTime for an append, also for one that it refuses because of its condition, and
// makes those of a partition one after the other. One whose caller no longer waits takes its time and effect all the same.
// restore reads the records of programs, page by page.
// send waits until the log has sent a number of bytes to a reader. A reader that no longer waits has used up its share all the same.
// work waits as long as an instance takes for a step of a call: usual at the longest, unless it is slow.
func (i *simInstance) work(usual time.Duration) {
	i.fleet.mu.Lock()
	longest := max(usual, i.slow)
	i.fleet.mu.Unlock()
	if longest > 0 {
		time.Sleep(time.Duration(i.fleet.intN(int(longest))))
	}
}

func (p *simProcess) isLeaving() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.leaving
}

// kill ends the instance's process at once. What it was doing has no further effect.
func (i *simInstance) kill() {
	i.fleet.mu.Lock()
	p := i.process
	i.process = nil
	i.fleet.mu.Unlock()
	if p == nil {
		return
	}
	close(p.killed)
	p.stop()
}

// leave announces a planned stop, goes on for a time and ends the process.
func (i *simInstance) leave() {
	i.fleet.mu.Lock()
	p := i.process
	if p != nil {
		p.leaving = true
	}
	i.fleet.mu.Unlock()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	_, _ = p.reports.Write(ctx)
	cancel()
	time.Sleep(2 * time.Second)
	i.kill()
}

// separate cuts the instance from all other instances and from the log, or ends that.
func (i *simInstance) separate(cut bool) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.cut, i.log = cut, logUp
	if cut {
		i.log = logSilent
	}
}

func (p *simProcess) alive() bool {
	select {
	case <-p.killed:
		return false
	default:
		return true
	}
}

// waitWhileFrozen blocks while the instance's machine is suspended.
func (i *simInstance) waitWhileFrozen() {
	for {
		i.fleet.mu.Lock()
		left := time.Until(i.frozenUntil)
		i.fleet.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// Call implements grants.Caller.
func (p *simProcess) Call(ctx context.Context, address, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	f := p.fleet
	f.mu.Lock()
	to := f.instances[ids.InstanceID(address)]
	unreachable := to == nil || p.cut || to.cut
	var peer *simProcess
	if to != nil {
		peer = to.process
	}
	f.mu.Unlock()
	switch {
	case unreachable:
		<-ctx.Done()
		return ctx.Err()
	case peer == nil:
		time.Sleep(networkDelay)
		return rpc.ErrUnreachable
	}
	answered := make(chan error, 1)
	go func() {
		time.Sleep(networkDelay)
		peer.waitWhileFrozen()
		peer.work(0)
		v, err := peer.methods[method](context.Background(), data)
		if err == nil {
			data, err = json.Marshal(v)
		}
		peer.waitWhileFrozen()
		time.Sleep(networkDelay)
		answered <- err
	}()
	select {
	case err := <-answered:
		if err != nil || !peer.alive() {
			return errors.Join(errors.New("connection lost"), err)
		}
		return json.Unmarshal(data, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// state waits for the way to the log and returns what the log does. A killed process makes no more calls.
// answer waits for the way back from the log.
// Append implements partlog.Log.
// Read implements partlog.Log.
// Newest implements partlog.Log.
// readConfig reads the configuration until that succeeds, as each new run does.
