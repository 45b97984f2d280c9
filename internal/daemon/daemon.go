// Package daemon creates and connects the parts of an instance, runs its tasks and stops it.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/comfreylink/comfreylink/internal/admin"
	"github.com/comfreylink/comfreylink/internal/catchup"
	"github.com/comfreylink/comfreylink/internal/chat"
	"github.com/comfreylink/comfreylink/internal/configlog"
	"github.com/comfreylink/comfreylink/internal/dispatcher"
	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/fleet"
	"github.com/comfreylink/comfreylink/internal/forward"
	"github.com/comfreylink/comfreylink/internal/instancelist"
	"github.com/comfreylink/comfreylink/internal/journal"
	"github.com/comfreylink/comfreylink/internal/limiter"
	"github.com/comfreylink/comfreylink/internal/liveness"
	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/internal/members"
	"github.com/comfreylink/comfreylink/internal/owner"
	"github.com/comfreylink/comfreylink/internal/peer"
	"github.com/comfreylink/comfreylink/internal/service"
	"github.com/comfreylink/comfreylink/internal/services"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/internal/slots"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/member"
	"github.com/comfreylink/comfreylink/pkg/pace"
	"github.com/comfreylink/comfreylink/pkg/replay"
	"github.com/comfreylink/comfreylink/pkg/slot"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// recentConfigBytes limits the size of the config stream entries that are kept for peers that cannot read the log. It
// exceeds record.MaxEntryBytes, so that the last entry is always kept.
const recentConfigBytes = 2 << 20

// Daemon is one running instance.
type Daemon struct {
	settings settings.Settings
	logger   *zap.Logger
	self     ids.WriterID
	catalog  *config.Catalog

	log        *logservice.Client
	pace       *pace.Pace
	config     *journal.Journal
	fleetLog   *journal.Journal
	table      *slot.Table
	members    *members.Members
	catchup    *catchup.Catchup
	fleet      *fleet.Fleet
	slots      *slots.Slots
	owner      *owner.Owner
	limiter    *limiter.Limiter
	dispatcher *dispatcher.Dispatcher
	server     *peer.Server
	peers      *peer.Client
	chat       *chat.Server
	engines    *engine.Client
	services   *service.Client
	retries    *targets.Retries
	suspects   *suspect.Tracker // requests during which a target died, until all instances know of them
	admin      *admin.Server
	metrics    *admin.Metrics

	stopping atomic.Bool
	cleanups []func()
	drain    chan struct{}
}

// New binds the addresses of an instance and creates its parts. The returned cleanup closes what New opened.
func New(s settings.Settings, logger *zap.Logger) (d *Daemon, cleanup func(), err error) {
	defer func() { err = oops.In("daemon").With("instance", s.Instance.ID).Wrapf(err, "set up") }()
	nonce := make([]byte, 6)
	if _, err = rand.Read(nonce); err != nil {
		return nil, nil, err
	}
	d = &Daemon{
		settings: s,
		logger:   logger,
		self:     ids.WriterID(fmt.Sprintf("%s#%s", s.Instance.ID, hex.EncodeToString(nonce))),
		catalog:  config.New(),
		table:    slot.New(s.Ownership.Slots),
		pace:     pace.New(time.Now(), s.Log.AppendsPerSecond),
		retries:  targets.NewRetries(s.Dispatch.RetryBudget),
		suspects: suspect.New(),
		drain:    make(chan struct{}, 1),
	}
	opened := d // because returning an error sets d to nil
	defer func() {
		if err != nil {
			opened.close()
		}
	}()
	for _, step := range []func() error{d.openMetrics, d.openLog, d.openPeers, d.openTargets, d.openFleet, d.openCallers, d.openAdmin} {
		if err = step(); err != nil {
			return nil, nil, err
		}
	}
	return d, d.close, nil
}

func (d *Daemon) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	d.cleanups = nil
}

func (d *Daemon) onClose(f func()) { d.cleanups = append(d.cleanups, f) }

func (d *Daemon) openLog() (err error) {
	var cleanup func()
	if d.log, cleanup, err = logservice.New(d.settings.Log.Address); err != nil {
		return err
	}
	d.onClose(cleanup)
	if d.config, cleanup, err = d.journal(ids.ConfigStream, configlog.Fold{Catalog: d.catalog, Logger: d.logger}); err != nil {
		return err
	}
	d.onClose(cleanup)
	if d.fleetLog, cleanup, err = d.journal(ids.FleetStream, d.table); err != nil {
		return err
	}
	d.onClose(cleanup)
	return nil
}

func (d *Daemon) journal(s ids.Stream, f replay.Fold) (j *journal.Journal, cleanup func(), err error) {
	c := journal.Config{
		Stream: s,
		Writer: d.self,
		Log:    measuredLog{d.log, d},
		Fold:   f,
		Pace:   d.pace,
		// A lease runs from the last read. On an idle stream that read is up to twice ReadWait old.
		ReadWait: min(journal.DefaultReadWait, d.settings.Ownership.Lease/leaseReads),
		Logger:   d.logger,
		Now:      time.Now,
	}
	if s == ids.ConfigStream {
		c.RecentBytes = recentConfigBytes
	}
	return journal.New(c)
}

// leaseReads is the minimum number of reads of an idle stream that fit into a lease.
const leaseReads = 6

// Open implements slots.Streams.
func (d *Daemon) Open(s ids.Slot, f replay.Fold) (j *journal.Journal, cleanup func(), err error) {
	return d.journal(ids.Stream(fmt.Sprintf("slot-%03d", s)), f)
}

func (d *Daemon) openPeers() (err error) {
	credentials, err := peer.LoadCredentials(d.settings.Peer.CAFile, d.settings.Peer.CertFile, d.settings.Peer.KeyFile)
	if err != nil {
		return err
	}
	var cleanup func()
	d.server, cleanup, err = peer.Listen(d.settings.Peer.Listen, credentials, func(address string, reason error) {
		events.Log(d.logger, events.PeerRejected, zap.String("address", address), zap.NamedError("reason", reason))
	})
	if err != nil {
		return err
	}
	d.onClose(cleanup)
	d.peers, cleanup = peer.New(credentials)
	d.onClose(cleanup)
	return nil
}

func (d *Daemon) openTargets() (err error) {
	var cleanup func()
	if d.engines, cleanup, err = engine.New(); err != nil {
		return err
	}
	d.onClose(cleanup)
	if d.services, cleanup, err = service.New(); err != nil {
		return err
	}
	d.onClose(cleanup)
	list, cleanup, err := instancelist.New(d.settings.List.Address)
	if err != nil {
		return err
	}
	d.onClose(cleanup)
	d.members = members.New(members.Config{
		Self:     slot.Member{Writer: d.self, Instance: d.settings.Instance.ID},
		Interval: d.settings.List.Interval,
		List:     list,
		Peers:    peerCaller{d.peers, d},
		Describe: d.describe,
		Options:  member.DefaultOptions(),
		Logger:   d.logger,
	})
	d.catchup = catchup.New(catchup.Config{
		Journal:  d.config,
		Members:  d.members,
		Peers:    peerCaller{d.peers, d},
		Revision: func() ids.Revision { return d.catalog.Current().Revision() },
		Logger:   d.logger,
	})
	return nil
}

func (d *Daemon) openFleet() (err error) {
	var cleanup func()
	d.slots, cleanup = slots.New(slots.Config{
		Self:         d.self,
		KeyRetention: d.settings.Ownership.KeyRetention,
		Streams:      d,
		Lease:        fleetLease{d},
		Logger:       d.logger,
	})
	d.onClose(cleanup)
	d.dispatcher = dispatcher.New(dispatcher.Config{
		Self:    d.settings.Instance.ID,
		Zone:    d.settings.Instance.Zone,
		Members: d.members,
		Peers:   peerCaller{d.peers, d},
		Engines: d.engines,
		Programs: liveness.Programs{
			Self:   d.self,
			Slots:  d.settings.Ownership.Slots,
			Owners: owners{d},
			Own:    d.slots,
			Peers:  peerCaller{d.peers, d},
		},
		ModelPools: func() []ids.PoolID { return dispatcher.ModelPoolsOf(d.catalog.Current()) },
		Options: func(pool ids.PoolID) (dispatch.Options, bool) {
			return dispatcher.OptionsOf(d.catalog.Current(), d.queueOptions(), pool)
		},
		Logger: d.logger,
	})
	targetAccess := targets.Access{Targets: access{d}, Catalog: d.catalog}
	d.owner = owner.New(owner.Config{
		Self:     d.self,
		Instance: d.settings.Instance.ID,
		Slots:    d.slots,
		Targets:  targetAccess,
		Services: services.New(fleetLease{d}, targetAccess),
	})
	d.fleet = fleet.New(fleet.Config{
		Self:         d.self,
		Journal:      d.fleetLog,
		Table:        d.table,
		Lease:        d.settings.Ownership.Lease,
		SuspectAfter: d.settings.Ownership.SuspectAfter,
		Members:      d.members,
		Slots:        d.slots,
		Logger:       d.logger,
	})
	d.limiter = limiter.New(limiter.Config{
		Self:     d.self,
		Slots:    d.settings.Ownership.Slots,
		GrantMax: d.settings.Rate.GrantMax,
		Hold:     d.settings.Rate.Hold,
		Owners:   owners{d},
		Peers:    peerCaller{d.peers, d},
		Catalog:  d.catalog,
	})
	return nil
}

func (d *Daemon) queueOptions() dispatch.Options {
	o := dispatch.DefaultOptions()
	o.Policy = string(d.settings.Dispatch.Policy)
	o.MaxInFlight = d.settings.Dispatch.MaxInFlight
	return o
}

func (d *Daemon) openCallers() (err error) {
	l := d.settings.Limits
	limits := chat.Limits{
		MaxBodyBytes:    int(l.MaxBodyBytes),
		MaxConcurrent:   l.MaxConcurrent,
		DefaultDeadline: l.DefaultDeadline,
		MaxDeadline:     l.MaxDeadline,
	}
	forwarder := forward.New(d.self, d.settings.Ownership.Slots, owners{d}, d.owner, d.peers)
	server, cleanup, err := chat.New(d.settings.Instance.ID, d.settings.Instance.Listen, limits, directory{d}, forwarder, observer{d})
	if err != nil {
		return err
	}
	d.onClose(cleanup)
	d.chat = server
	return nil
}

// Run serves until ctx ends or Drain is called, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("daemon").With("instance", d.settings.Instance.ID).Wrapf(err, "run") }()
	tasksCtx, cancelTasks := context.WithCancel(context.Background())
	defer cancelTasks()
	g, tasksCtx := errgroup.WithContext(tasksCtx)
	for _, task := range []func(context.Context) error{
		d.config.Run,
		d.fleetLog.Run,
		d.members.Run,
		d.catchup.Run,
		d.fleet.Run,
		d.limiter.Run,
		d.dispatcher.Run,
		d.dispatcher.RunPools,
		d.endIdlePrograms,
		d.writeSnapshots,
		d.admin.Run,
		func(ctx context.Context) error { return d.server.Serve(ctx, handler{d}) },
	} {
		g.Go(func() error { return task(tasksCtx) })
	}
	g.Go(d.chat.Serve)
	g.Go(func() error { return d.watchReadiness(tasksCtx) })
	select {
	case <-ctx.Done():
	case <-d.drain:
	case <-tasksCtx.Done():
	}
	d.stop()
	cancelTasks()
	return g.Wait()
}

// stop releases the slots, while callers' requests are still served through the other instances, and then waits for the
// requests and peer calls that this instance has accepted.
func (d *Daemon) stop() {
	events.Log(d.logger, events.Draining,
		zap.Int64("inProgress", d.chat.Active()), zap.Duration("timeout", d.settings.Instance.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Instance.DrainTimeout)
	defer cancel()
	d.stopping.Store(true)
	d.members.Leave()
	if err := d.fleet.Release(ctx); err != nil {
		d.logger.Warn("release slots", zap.Error(err))
	}
	if err := d.chat.Shutdown(ctx); err != nil {
		d.logger.Warn("finish the callers' requests", zap.Error(err))
	}
	d.finishPeerCalls(ctx)
}

// finishPeerCalls waits until the calls that other instances have sent to this one are answered, or ctx ends.
func (d *Daemon) finishPeerCalls(ctx context.Context) {
	for d.server.Calls() > 0 {
		select {
		case <-time.After(finishPoll):
		case <-ctx.Done():
			return
		}
	}
}

const finishPoll = 20 * time.Millisecond

// Drain makes Run stop the daemon gracefully.
func (d *Daemon) Drain() {
	select {
	case d.drain <- struct{}{}:
	default:
	}
}
