// Package gateway passes the requests of agent programs on to targets. It decides which requests run, in which order and
// where, and keeps what must outlast it in the platform's log.
package gateway

import (
	"context"
	"errors"
	"net"
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
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/internal/waitqueue"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// Codec spells requests and answers as the platform does.
type Codec interface {
	DecodeRequest(h *fasthttp.RequestHeader) call.Request
	EncodeRequest(b []byte, h *fasthttp.RequestHeader, s call.OutboundRequest) []byte
	DecodeAnswer(h *fasthttp.ResponseHeader) call.Answer
}

// Config is what a gateway needs.
type Config struct {
	Settings settings.Gateway
	Source   follower.Source
	// Log is the log of Source, which other instances may use through this one.
	Log   *relay.Log
	Codec Codec
	// Peers calls other instances.
	RPC *rpc.Client
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	Client    *httpwire.Client
	Clock     *boottime.Clock
	Logger    *zap.Logger
	Metrics   Metrics
	// RunID is drawn anew at each start, to tell this run of the instance from earlier ones.
	RunID string
}

// Metrics counts what the gateway does.
type Metrics interface {
	RequestDone(route, outcome string, status int, took time.Duration)
	Refused(code string)
	Waited(service string, took time.Duration)
	FirstByte(route string, took time.Duration)
	Attempt(service, outcome string)
}

const (
	// topicsPerSpace spreads programs and turns over many partitions, so that two programs seldom share one.
	topicsPerSpace = 32
	// freshMargin is how much sooner than the bound a configuration counts as too old: requests still travel to targets.
	freshMargin = 700 * time.Millisecond
	// readyAge is the age of the configuration up to which the gateway asks for new callers.
	readyAge = 2500 * time.Millisecond
	// leaveDelay is how long after SIGTERM callers are still accepted: the balancer notices after two probes.
	leaveDelay = 2500 * time.Millisecond
	// exitMargin is how long before it would be killed the gateway ends.
	exitMargin = 400 * time.Millisecond
	// announceTimeout bounds the last word to the other instances.
	announceTimeout = 500 * time.Millisecond
	// lineTick is how often lines are looked through for what only time allows.
	lineTick = 10 * time.Millisecond
	// updateInterval is how often the lines take over what only time changes of the targets.
	updateInterval = 500 * time.Millisecond
	// dropInterval is how often old state is forgotten.
	dropInterval = 5 * time.Second
	// Limits before the first configuration.
	firstHeaderBytes = 16 << 10
	firstBodyBytes   = 4 << 20
	firstTimeout     = 3 * time.Second
	firstIdle        = 15 * time.Second
)

// Gateway is one instance. Make it with New and run it once.
type Gateway struct {
	Config
	follower *follower.Follower
	lines    *waitqueue.Queues
	programs *programs.Store
	server   *httpwire.Server
	draining atomic.Bool
	ready    atomic.Bool

	grants  *grants.Grantor
	reports *reports.Reports

	mu   sync.Mutex
	uses map[account.Key]programUse // programs that were let in lately
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{
		Config: c,
		lines:  waitqueue.New(waitqueue.Options{Policy: string(c.Settings.Dispatch.Policy), Now: c.Clock.Now}),
		uses:   make(map[account.Key]programUse),
	}
	g.grants = grants.New(grants.Config{
		Self: c.Settings.Instance.ID, Client: c.RPC, Now: c.Clock.Now, Loads: g.lines,
		Address: func(id ids.InstanceID) (string, bool) { return g.reports.AddressOf(id) },
	})
	g.reports = reports.New(reports.Config{
		Self:  relay.Peer{Instance: c.Settings.Instance.ID, Address: c.Settings.Relay.Advertise, Zone: c.Settings.Instance.Zone},
		RunID: c.RunID, Log: c.Source.Log, Grants: g.grants, Reachable: c.Log.Reachable, Leaving: g.draining.Load,
		Now: c.Clock.Now, Logger: c.Logger,
	})
	parts := c.Settings.Store.Partitions
	g.programs = programs.New(programs.Config{
		Log: c.Source.Log, Now: c.Clock.Now, Logger: c.Logger,
		Programs: partlog.Keyspace{Name: "programs", Topics: topicsPerSpace, Parts: parts},
		Index:    partlog.Keyspace{Name: "turns", Topics: topicsPerSpace, Parts: parts},
	})
	g.follower = follower.New(c.Source, c.Settings.Bounds, c.Logger, c.Clock.Now, g.followerChanged)
	g.server = httpwire.NewServer(g, g.limits)
	return g
}

// Peers returns the other instances.
func (g *Gateway) Peers() []relay.Peer { return g.reports.Peers() }

func (g *Gateway) now() time.Time { return g.Clock.Now() }

func (g *Gateway) limits() httpwire.Limits {
	t := g.follower.Table()
	if t == nil {
		return httpwire.Limits{HeaderBytes: firstHeaderBytes, BodyBytes: firstBodyBytes, HeaderTimeout: firstTimeout, IdleTimeout: firstIdle}
	}
	l := t.Config.Limits
	return httpwire.Limits{
		HeaderBytes: orDefault(l.HeaderBytes, firstHeaderBytes), BodyBytes: orDefault(l.BodyBytes, firstBodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, firstTimeout), IdleTimeout: orDefault(l.IdleTimeout, firstIdle),
	}
}

func orDefault[T int | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// followerChanged takes over a new configuration or new targets.
func (g *Gateway) followerChanged(now time.Time) {
	table := g.follower.Table()
	if table == nil {
		return
	}
	limits := make(map[ids.WorkspaceID]quota.Limit, len(table.Config.Workspaces))
	for _, w := range table.Config.Workspaces {
		limits[w.ID] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	g.grants.View(func(k *quota.Limiter, _ *quota.Members) { k.Configure(now, limits) })
	g.lines.Update(now, g.follower.Targets(now), table.Service)
}

// Run serves until the context ends, then finishes what was taken.
func (g *Gateway) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("gateway").Wrapf(err, "run") }()
	front, err := net.Listen("tcp", g.Settings.Instance.Listen)
	if err != nil {
		return err
	}
	probe, err := net.Listen("tcp", g.Settings.Instance.Ready)
	if err != nil {
		return errors.Join(err, front.Close())
	}
	between, err := net.Listen("tcp", g.Settings.Relay.Listen)
	if err != nil {
		return errors.Join(err, front.Close(), probe.Close())
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, work := errgroup.WithContext(work)
	tasks.Go(func() error { return g.follower.FollowConfig(work) })
	tasks.Go(func() error { return g.follower.FollowTargets(work) })
	tasks.Go(func() error { return g.reports.Run(work) })
	tasks.Go(func() error { return g.tick(work) })
	tasks.Go(func() error { return g.server.Serve(front) })
	tasks.Go(func() error {
		return rpc.NewServer(g.Log.Methods(), g.grants.Methods()).Serve(between)
	})
	probes := &fasthttp.Server{Handler: g.probe, NoDefaultServerHeader: true, NoDefaultDate: true}
	tasks.Go(func() error { return probes.Serve(probe) })
	select {
	case <-ctx.Done():
		g.drain(front)
	case <-work.Done():
	}
	_ = front.Close()
	_ = probe.Close()
	_ = between.Close()
	stop()
	return tasks.Wait()
}

// drain tells the balancer, takes callers until it has noticed and lets the requests in progress end.
func (g *Gateway) drain(front net.Listener) {
	began := time.Now()
	g.draining.Store(true)
	go g.announceLeave()
	g.updateReady(g.now())
	events.Log(g.Logger, events.Draining, zap.Int("inProgress", g.server.Active()), zap.Duration("timeout", g.Settings.Instance.Grace))
	g.server.DisableKeepAlive()
	last := began.Add(g.Settings.Instance.Grace - exitMargin)
	for now := time.Now(); now.Before(last); now = time.Now() {
		if now.Sub(began) > leaveDelay {
			// A request that came later could outlast the process.
			_ = front.Close()
			g.server.CloseIdle()
			if g.server.Active() == 0 {
				break
			}
		}
		time.Sleep(min(20*time.Millisecond, last.Sub(now)))
	}
	g.flush(last)
}

// announceLeave tells the other instances at once that this one no longer grants.
func (g *Gateway) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := g.reports.Write(ctx); err != nil {
		events.Log(g.Logger, events.ReportFailed, zap.String("operation", "leave"), zap.Error(err))
	}
}

// flush writes what waits to be written, within the time that is left.
func (g *Gateway) flush(last time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), last.Add(exitMargin/2))
	defer cancel()
	g.programs.Flush(ctx)
	if _, err := g.reports.Write(ctx); err != nil {
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

// updateReady decides whether new callers are welcome, and logs when that changes.
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
	case age > readyAge:
		reason = "stale configuration"
	}
	ready := reason == ""
	if g.ready.Swap(ready) != ready {
		events.Log(g.Logger, events.ReadinessChanged, zap.Bool("ready", ready), zap.String("reason", reason),
			zap.Duration("configAge", age), zap.Int64("configVersion", g.configVersion()))
	}
	return ready
}

// tick drives what only time changes.
func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(lineTick)
	defer ticker.Stop()
	dropped, listed := g.now(), g.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := g.now()
		g.lines.Tick(now)
		if now.Sub(listed) > updateInterval {
			listed = now
			g.updateReady(now)
			// A removed target may be used for some time after an outage of the log; that ends without an event.
			if t := g.follower.Table(); t != nil {
				g.lines.Update(now, g.follower.Targets(now), t.Service)
			}
		}
		if now.Sub(dropped) > dropInterval {
			dropped = now
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
	g.dropUses(now)
}
