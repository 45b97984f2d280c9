// Package gateway admits the requests of agent programs, forwards them to targets and streams the answers back. It decides
// which requests run, in which order and where. State that must survive the process is written to the platform's log.
package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/alive"
	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/leaders"
	"github.com/comfreylink/comfreylink/internal/logcache"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/retry"
)

// Codec converts between the gateway's requests and answers and the platform's HTTP messages.
type Codec interface {
	DecodeRequest(h *fasthttp.RequestHeader) call.Request
	EncodeRequest(b []byte, h *fasthttp.RequestHeader, s call.OutboundRequest) []byte
	DecodeAnswer(h *fasthttp.ResponseHeader) call.Answer
}

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings settings.Gateway
	Source   follower.Source
	// Log is the log of Source. Other instances may use it through this one.
	Log *relay.Log
	// Readers is the directory of the instances that read the log for others.
	Readers logcache.Directory
	Codec   Codec
	// RPC calls other instances.
	RPC *rpc.Client
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	Client    *httpwire.Client
	Clock     *boottime.Clock
	Logger    *zap.Logger
	Metrics   Metrics
	// RunID is chosen at random at each start, to distinguish this run of the instance from earlier ones.
	RunID string
}

// Metrics counts and times the gateway's requests.
type Metrics interface {
	RequestDone(route, outcome string, status int, took time.Duration)
	Refused(code string)
	AnswerCut(reason string)
	Waited(service string, took time.Duration)
	FirstByte(route string, took time.Duration)
	Attempt(service, outcome string)
	recordgate.Observer
	programs.Observer
	ZoneSent(zone, reason string, cost time.Duration)
}

const (
	// topicsPerKeyspace spreads programs and turns over many partitions, so that two programs seldom share one.
	topicsPerKeyspace = 32
	// recordInterval is the minimum time between two appends to a partition with the records of programs. It adds half of
	// that to the end of a turn under load.
	recordInterval = 25 * time.Millisecond
)

// Gateway is one instance of the gateway. Create it with New and call Run once.
type Gateway struct {
	Config
	follower *follower.Follower
	queues   *waitqueue.Queues
	programs *programs.Store
	server   *httpwire.Server
	// answerMemory bounds what targets can make this process hold with bodies that do not end.
	answerMemory *httpwire.MemoryLimit
	draining     atomic.Bool
	// takeUntil is when a planned stop takes the last requests, in Unix nanoseconds; 0 before a stop.
	takeUntil atomic.Int64
	ready     atomic.Bool

	followed *logcache.Log // for the partitions that all instances follow
	grants   *grants.RateLimiter
	reports  *reports.Reports
	leaders  *leaders.Client // nil if each instance writes its own records
	// recordGate refuses requests whose records would not be written in time; nil if the log's limit is not known.
	recordGate *recordgate.Gate

	mu          sync.Mutex
	programUses map[account.Key]programUse // recently admitted programs
	slowRetries *retry.Budget              // guarded by mu
	startedAt   time.Time

	zones    *zoneUse
	applying sync.Mutex // while the follower's state is applied to the queues and limits
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{
		Config: c,
		queues: waitqueue.New(waitqueue.Options{
			Policy: string(c.Settings.Dispatch.Policy), RankMargin: c.Settings.Dispatch.RankMargin, Now: c.Clock.Now, Seed: ids.Rendezvous(string(c.Settings.Instance.ID), c.RunID),
			Zone: c.Settings.Instance.Zone, ZonePrice: c.Settings.Dispatch.ZonePrice, ZoneShareChanged: logZoneShare(c.Logger),
		}),
		programUses: make(map[account.Key]programUse), answerMemory: newAnswerMemory(c.Settings.Instance.Memory),
		slowRetries: newSlowRetries(c.Settings.Dispatch.SlowRetries), zones: newZoneUse(), startedAt: c.Clock.Now(),
	}
	if c.Settings.Store.CallsPerSecond > 0 {
		g.recordGate = recordgate.New(recordgate.Config{
			Now: c.Clock.Now, Partitions: len(g.programPartitions().Partitions()), Observer: c.Metrics, Logger: c.Logger,
		})
	}
	g.followed = logcache.New(logcache.Config{
		Self: c.Settings.Instance.ID, Zone: c.Settings.Instance.Zone, Log: c.Source.Log, Members: func() []leader.Member { return g.reports.Members() },
		Discovered: func() bool { return g.reports.PeersKnown() }, Caller: c.RPC, ReadRate: sharedReadRate(c.Settings), Now: c.Clock.Now,
		Backlogs:  map[partlog.Partition]ids.Offset{c.Source.Config: 0, c.Source.Targets: 0, reports.Partition: reports.ReaderBacklog},
		Discovery: reports.Partition, Directory: c.Readers, Logger: c.Logger,
	})
	source := c.Source
	source.Log = g.followed
	g.grants = grants.New(grants.Config{
		Self: quota.Run{Instance: c.Settings.Instance.ID, ID: c.RunID}, Client: c.RPC, Now: c.Clock.Now, Loads: g.queues,
		Address: func(id ids.InstanceID) (string, bool) { return g.reports.AddressOf(id) },
		Claim:   func(ctx context.Context, s quota.Shard) { g.reports.Claim(ctx, s) },
	})
	g.reports = reports.New(reports.Config{
		Self:  relay.Peer{Instance: c.Settings.Instance.ID, Address: c.Settings.Relay.Advertise, Zone: c.Settings.Instance.Zone, CPU: c.Settings.Instance.CPU},
		RunID: c.RunID, Log: c.Source.Log, Followed: g.followed, Grants: g.grants, Reachable: c.Log.Reachable, Leaving: g.draining.Load,
		Now: c.Clock.Now, Logger: c.Logger, Writes: g.recordGate,
	})
	g.programs = programs.New(g.programsConfig())
	g.follower = follower.New(source, c.Settings.Bounds, c.Logger, c.Clock.Now, g.followerChanged)
	g.server = httpwire.NewServer(g, g.limits, g.logFailure("request"))
	return g
}

// programsConfig returns the configuration of the store of programs.
func (g *Gateway) programsConfig() programs.Config {
	c := programs.Config{
		Self: g.Settings.Instance.ID, Log: g.Source.Log, LogRetention: g.Settings.Store.Retention, Now: g.Clock.Now, Logger: g.Logger, Observer: g.Metrics, Writes: g.recordGate,
		Programs: g.programPartitions(), Index: partlog.Keyspace{Name: "turns", Topics: topicsPerKeyspace, Parts: g.Settings.Store.Partitions},
	}
	if g.Settings.Store.RecordPartitions > 0 {
		g.leaders = leaders.New(leaders.Config{
			Self: g.Settings.Instance.ID, Zone: g.Settings.Instance.Zone, Members: g.leaderCandidates,
			Discovered: g.reports.Discovered(), Caller: g.RPC, Now: g.Clock.Now, Logger: g.Logger,
		})
		c.Leaders, c.WriteInterval = g.leaders, recordInterval
	}
	return c
}

// programPartitions returns the partitions with the records of programs.
func (g *Gateway) programPartitions() partlog.Keyspace {
	if n := g.Settings.Store.RecordPartitions; n > 0 {
		return partlog.Keyspace{Name: "records", Topics: 1, Parts: n}
	}
	return partlog.Keyspace{Name: "programs", Topics: topicsPerKeyspace, Parts: g.Settings.Store.Partitions}
}

// leaderCandidates returns the instances that may lead partitions. The bodies of turns must not leave the region, so each
// region has leaders of its own.
func (g *Gateway) leaderCandidates() []leader.Member {
	region := g.Settings.Instance.Region
	return slices.DeleteFunc(g.reports.Members(), func(m leader.Member) bool {
		other, ok := g.Settings.Zones[m.Zone]
		return ok && other != region
	})
}

// minSharedRevoke is the shortest bound for withdrawn keys with which instances read through others. What a reader returns may be 1.3 s
// old, and a configuration counts as stale freshMargin before the bound.
const minSharedRevoke = 2 * time.Second

// sharedReadRate returns the rate of the log above which instances read through others; 0 if they do not.
func sharedReadRate(s settings.Gateway) int {
	if s.Bounds.Revoke < minSharedRevoke {
		return 0
	}
	return s.Store.ReadRate
}

// Peers returns the other instances.
func (g *Gateway) Peers() []relay.Peer { return g.reports.Peers() }

// logFailure returns a function that logs an error of a task. The error ends what the task was about, and not the process.
func (g *Gateway) logFailure(task string) func(err error) {
	return func(err error) { events.Log(g.Logger, events.InternalError, zap.String("task", task), zap.Error(err)) }
}

func (g *Gateway) now() time.Time { return g.Clock.Now() }

// followerChanged applies a new configuration or a new list of targets.
func (g *Gateway) followerChanged(now time.Time) {
	g.logEmptyZones(now)
	// The configuration and the targets change at the same time. Without the lock, a list of targets that was read before a
	// change could be applied after that change.
	g.applying.Lock()
	defer g.applying.Unlock()
	table := g.follower.Table()
	if table == nil {
		return
	}
	limits := make(map[ids.WorkspaceID]quota.Limit, len(table.Config.Workspaces))
	for _, w := range table.Config.Workspaces {
		limits[w.ID] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	maps.Copy(limits, g.follower.ColdLimits())
	g.grants.View(func(l *quota.Limiter) { l.Configure(now, limits) })
	g.queues.Update(now, g.follower.Targets(now), table.Service)
}

// updateTargets applies the targets that may be used now to the queues.
func (g *Gateway) updateTargets(now time.Time) {
	g.logEmptyZones(now)
	g.applying.Lock()
	defer g.applying.Unlock()
	if table := g.follower.Table(); table != nil {
		g.queues.Update(now, g.follower.Targets(now), table.Service)
	}
}

// Run serves until the context ends, and then finishes the accepted requests.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("gateway").Wrapf(err, "run") }()
	callerListener, err := g.listen(g.Settings.Instance.Listen)
	if err != nil {
		return err
	}
	probe, err := g.listen(g.Settings.Instance.Ready)
	if err != nil {
		return errors.Join(err, callerListener.Close())
	}
	peerListener, err := g.listen(g.Settings.Relay.Listen)
	if err != nil {
		return errors.Join(err, callerListener.Close(), probe.Close())
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(func() error { return g.follower.FollowConfig(work) })
	tasks.Go(func() error { return g.follower.FollowTargets(work) })
	tasks.Go(func() error { return g.followed.Run(work) })
	tasks.Go(func() error { return g.reports.Run(work) })
	tasks.Go(func() error { return g.tick(work) })
	tasks.Go(func() error { return g.standby(work) })
	tasks.Go(func() error { return g.server.Serve(callerListener) })
	tasks.Go(func() error {
		return rpc.NewServer(g.logFailure("peerCall"), g.methods()...).Serve(peerListener)
	})
	probeServer := &fasthttp.Server{Handler: g.probe, NoDefaultServerHeader: true, NoDefaultDate: true}
	tasks.Go(func() error { return probeServer.Serve(probe) })
	select {
	case <-ctx.Done():
		g.drain(callerListener)
	case <-work.Done():
	}
	_ = callerListener.Close()
	_ = probe.Close()
	_ = peerListener.Close()
	stop()
	return tasks.Wait()
}

// methods returns the methods that other instances call.
func (g *Gateway) methods() []map[string]rpc.Method {
	l := []map[string]rpc.Method{alive.Methods(), g.Log.Methods(), g.grants.Methods(), g.followed.Methods()}
	if g.leaders != nil {
		l = append(l, g.programs.Methods())
	}
	return l
}

// listen opens a listener that outlasts errors of single connections.
func (g *Gateway) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return httpwire.KeepAccepting(l, g.logFailure("accept")), nil
}
