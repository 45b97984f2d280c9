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

	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/internal/recorder"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
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
	Log   *relay.Log
	Codec Codec
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
	// freshMargin is how much earlier than its bound a configuration counts as stale, because requests still travel to targets.
	freshMargin = 700 * time.Millisecond
	// maxReadyAge is the age of the configuration up to which the gateway reports itself ready for new callers.
	maxReadyAge = 2500 * time.Millisecond
	// leaveDelay is how long after SIGTERM callers are still accepted: the load balancer notices after two probes.
	leaveDelay = 2500 * time.Millisecond
	// answerMargin is how long before its exit the gateway answers the requests that it cannot finish.
	answerMargin = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period, when it would be killed, the gateway exits.
	exitMargin = 400 * time.Millisecond
	// announceTimeout bounds the report to the other instances that this one leaves.
	announceTimeout = 500 * time.Millisecond
	// queueTick is how often the queues are checked for requests that can be placed only because time has passed.
	queueTick = 10 * time.Millisecond
	// updateInterval is how often the targets are applied to the queues again, because some of them expire by time alone.
	updateInterval = 500 * time.Millisecond
	// recordInterval is the minimum time between two appends to a partition with the records of programs. It adds half of
	// that to the end of a turn under load.
	recordInterval = 25 * time.Millisecond
	// standbyInterval is how often an instance reads the partitions that it may have to lead.
	standbyInterval = time.Second
	// cleanupInterval is how often old state is deleted.
	cleanupInterval = 5 * time.Second
	// Limits that apply before the first configuration is read.
	initialHeaderBytes   = 16 << 10
	initialBodyBytes     = 4 << 20
	initialHeaderTimeout = 3 * time.Second
	initialIdleTimeout   = 15 * time.Second
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

	grants   *grants.RateLimiter
	reports  *reports.Reports
	recorder *recorder.Recorder // nil if each instance writes its own records
	// recordGate refuses requests whose records would not be written in time; nil if the log's limit is not known.
	recordGate *recordgate.Gate

	mu          sync.Mutex
	programUses map[account.Key]programUse // recently admitted programs
	slowRetries *retry.Budget              // guarded by mu

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
		slowRetries: newSlowRetries(c.Settings.Dispatch.SlowRetries), zones: newZoneUse(),
	}
	if c.Settings.Store.CallsPerSecond > 0 {
		g.recordGate = recordgate.New(recordgate.Config{Now: c.Clock.Now, Observer: c.Metrics, Logger: c.Logger})
	}
	g.grants = grants.New(grants.Config{
		Self: quota.Run{Instance: c.Settings.Instance.ID, ID: c.RunID}, Client: c.RPC, Now: c.Clock.Now, Loads: g.queues,
		Address: func(id ids.InstanceID) (string, bool) { return g.reports.AddressOf(id) },
		Claim:   func(ctx context.Context, s quota.Shard) { g.reports.Claim(ctx, s) },
	})
	g.reports = reports.New(reports.Config{
		Self:  relay.Peer{Instance: c.Settings.Instance.ID, Address: c.Settings.Relay.Advertise, Zone: c.Settings.Instance.Zone, CPU: c.Settings.Instance.CPU},
		RunID: c.RunID, Log: c.Source.Log, Grants: g.grants, Reachable: c.Log.Reachable, Leaving: g.draining.Load,
		Now: c.Clock.Now, Logger: c.Logger, Writes: g.recordGate,
	})
	g.programs = programs.New(g.programsConfig())
	g.follower = follower.New(c.Source, c.Settings.Bounds, c.Logger, c.Clock.Now, g.followerChanged)
	g.server = httpwire.NewServer(g, g.limits, g.logFailure("request"))
	return g
}

// programsConfig returns the configuration of the store of programs.
func (g *Gateway) programsConfig() programs.Config {
	parts := g.Settings.Store.Partitions
	c := programs.Config{
		Log: g.Source.Log, LogRetention: g.Settings.Store.Retention, Now: g.Clock.Now, Logger: g.Logger, Observer: g.Metrics, Writes: g.recordGate,
		Programs: partlog.Keyspace{Name: "programs", Topics: topicsPerKeyspace, Parts: parts},
		Index:    partlog.Keyspace{Name: "turns", Topics: topicsPerKeyspace, Parts: parts},
	}
	if n := g.Settings.Store.RecordPartitions; n > 0 {
		g.recorder = recorder.New(recorder.Config{
			Self: g.Settings.Instance.ID, Zone: g.Settings.Instance.Zone, Members: g.leaderCandidates, Client: g.RPC, Now: g.Clock.Now, Logger: g.Logger,
		})
		c.Programs = partlog.Keyspace{Name: "records", Topics: 1, Parts: n}
		c.Leaders, c.WriteInterval = g.recorder, recordInterval
	}
	return c
}

// leaderCandidates returns the instances that may lead partitions. The bodies of turns must not leave the region, so each
// region has leaders of its own.
func (g *Gateway) leaderCandidates() []recorder.Member {
	region := g.Settings.Instance.Region
	return slices.DeleteFunc(g.reports.Members(), func(m recorder.Member) bool {
		other, ok := g.Settings.Zones[m.Zone]
		return ok && other != region
	})
}

// Peers returns the other instances.
func (g *Gateway) Peers() []relay.Peer { return g.reports.Peers() }

// logFailure returns a function that logs an error of a task. The error ends what the task was about, and not the process.
func (g *Gateway) logFailure(task string) func(err error) {
	return func(err error) { events.Log(g.Logger, events.InternalError, zap.String("task", task), zap.Error(err)) }
}

func (g *Gateway) now() time.Time { return g.Clock.Now() }

func (g *Gateway) limits() httpwire.Limits {
	t := g.follower.Table()
	if t == nil {
		return httpwire.Limits{HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
	}
	l := t.Config.Limits
	return httpwire.Limits{
		HeaderBytes: orDefault(l.HeaderBytes, initialHeaderBytes), BodyBytes: orDefault(l.BodyBytes, initialBodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, initialHeaderTimeout), IdleTimeout: orDefault(l.IdleTimeout, initialIdleTimeout),
	}
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

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
	l := []map[string]rpc.Method{g.Log.Methods(), g.grants.Methods()}
	if g.recorder != nil {
		l = append(l, g.recorder.Methods(), g.programs.Methods())
	}
	return l
}

// standby keeps up with the partitions that this instance may have to lead.
func (g *Gateway) standby(ctx context.Context) error {
	ticker := time.NewTicker(standbyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.programs.Standby(ctx)
		}
	}
}

// listen opens a listener that outlasts errors of single connections.
func (g *Gateway) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return httpwire.KeepAccepting(l, g.logFailure("accept")), nil
}

// errStopping is the cause that ends the contexts of requests that a planned stop cannot finish.
var errStopping = errors.New("the gateway is stopping")

// drain reports to the load balancer that the gateway is not ready, accepts callers until the balancer has noticed, and then
// waits for the requests in progress. Those that do not end in time are answered before the exit.
func (g *Gateway) drain(callerListener net.Listener) {
	began := time.Now()
	g.takeUntil.Store(g.now().Add(leaveDelay).UnixNano())
	g.draining.Store(true)
	go g.announceLeave()
	g.updateReady(g.now())
	events.Log(g.Logger, events.Draining, zap.Int("inProgress", g.server.Active()), zap.Duration("timeout", g.Settings.Instance.Grace))
	g.server.DisableKeepAlive()
	exitAt := began.Add(g.Settings.Instance.Grace - exitMargin)
	cancelAt := exitAt.Add(-answerMargin)
	for now := time.Now(); now.Before(exitAt); now = time.Now() {
		if now.Sub(began) > leaveDelay || !now.Before(cancelAt) {
			// A request accepted later could take longer than the time until the exit.
			_ = callerListener.Close()
			g.server.CloseIdle()
			if g.server.Active() == 0 {
				break
			}
		}
		if !now.Before(cancelAt) {
			g.server.CancelRunning(errStopping)
		}
		time.Sleep(min(20*time.Millisecond, exitAt.Sub(now)))
	}
	g.flush(exitAt)
}

// takesRequests reports whether a request that was read by now may be passed on. It may not late in a planned stop, because
// it could take longer than the time until the exit.
func (g *Gateway) takesRequests(now time.Time) bool {
	until := g.takeUntil.Load()
	return until == 0 || now.UnixNano() < until
}

// announceLeave reports to the other instances at once that this one no longer grants requests from workspaces' rate limits.
func (g *Gateway) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := g.reports.Write(ctx); err != nil {
		events.Log(g.Logger, events.ReportFailed, zap.String("operation", "leave"), zap.Error(err))
	}
}

// flush writes pending records and the last report. It stops trying half of exitMargin after exitAt, and half of that time is
// left for the report.
func (g *Gateway) flush(exitAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), exitAt.Add(exitMargin/2))
	defer cancel()
	recordsCtx, cancelRecords := context.WithDeadline(ctx, exitAt.Add(exitMargin/4))
	defer cancelRecords()
	g.programs.Flush(recordsCtx)
	_, err := g.reports.Write(ctx)
	if err = errors.Join(err, g.reports.RecordCrashes(ctx)); err != nil {
		events.Log(g.Logger, events.ReportFailed, zap.String("operation", "last"), zap.Error(err))
	}
}

func (g *Gateway) probe(c *fasthttp.RequestCtx) {
	if string(c.Path()) != g.ReadyPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.updateReady(g.now()) {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// updateReady reports whether the gateway is ready for new callers, and logs each change.
func (g *Gateway) updateReady(now time.Time) bool {
	age, known := g.follower.Freshness(now)
	reason := ""
	switch {
	case g.draining.Load():
		reason = "draining"
	case !known:
		reason = "no configuration"
	case !g.follower.TargetsKnown():
		reason = "no list of targets"
	case age > maxReadyAge:
		reason = "stale configuration"
	}
	ready := reason == ""
	if g.ready.Swap(ready) != ready {
		events.Log(g.Logger, events.ReadinessChanged, zap.Bool("ready", ready), zap.String("reason", reason),
			zap.Duration("configAge", age), zap.Int64("configVersion", g.configVersion()))
	}
	return ready
}

// tick does the periodic work: it places waiting requests, updates the queues' targets and deletes old state.
func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(queueTick)
	defer ticker.Stop()
	lastCleanup, lastUpdate := g.now(), g.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := g.now()
		g.queues.Tick(now)
		if now.Sub(lastUpdate) > updateInterval {
			lastUpdate = now
			g.updateReady(now)
			// After an outage of the log a removed target may still be used for some time. No event reports the end of that time.
			g.followerChanged(now)
		}
		if now.Sub(lastCleanup) > cleanupInterval {
			lastCleanup = now
			g.dropOld(now)
		}
	}
}

func (g *Gateway) dropOld(now time.Time) {
	g.Client.CloseStale(now)
	retention := time.Duration(0)
	if t := g.follower.Table(); t != nil {
		for _, r := range t.Config.Routes {
			if r.Remembered {
				retention = max(retention, r.Retention)
			}
		}
	}
	g.programs.DropOld(now, retention)
	g.reports.DropOld(now)
	g.dropIdlePrograms(now)
}
