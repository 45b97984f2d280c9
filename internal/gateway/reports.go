package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

const (
	// reportInterval is the time between two reports of an instance in a small fleet, reportPerInstance what each instance
	// adds to it, so that the reports of all fit into one partition.
	reportInterval    = time.Second
	reportPerInstance = 8 * time.Millisecond
	// deathInterval is the time between reports while a target's death is to be told.
	deathInterval = 200 * time.Millisecond
	// backlogRecords is how many reports before its own first one a new run reads: those of some seconds. All instances may
	// start at once, and together they must not read the whole history.
	backlogRecords = 300
	// backlogAge is how old a report may be that a new run still reads.
	backlogAge = 10 * time.Second
	// reportTimeout bounds one call to the log.
	reportTimeout = 500 * time.Millisecond
)

var reportsPartition = partlog.Partition{Topic: "reports"}

// wireReport is a report as it stands in the log.
type wireReport struct {
	Instance ids.InstanceID `json:"instance"`
	Run      string         `json:"run"`
	AtMs     int64          `json:"atMs"`
	Address  string         `json:"address"`
	Zone     ids.Zone       `json:"zone"`
	// Leaving is set from a planned stop on.
	Leaving bool `json:"leaving,omitempty"`
	// ReachesLog is false if the instance reaches the log through others only.
	ReachesLog bool        `json:"reachesLog"`
	Usage      []wireUsage `json:"usage,omitempty"`
	Deaths     []wireDeath `json:"deaths,omitempty"`
	// Survived are requests that were suspected and have been completed.
	Survived []ids.Fingerprint `json:"survived,omitempty"`
}

type wireUsage struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Granted   int             `json:"granted"`
}

type wireDeath struct {
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Target      ids.TargetID    `json:"target"`
}

// suspects are the requests under which targets died, and what was not reported of them yet.
type suspects struct {
	tracker  *suspect.Tracker
	deaths   []suspect.Death
	survived []ids.Fingerprint
}

func newSuspects() suspects { return suspects{tracker: suspect.New()} }

// runReports writes and reads reports until the context ends.
func (g *Gateway) runReports(ctx context.Context) error {
	next := ids.Offset(-1)
	for ctx.Err() == nil {
		began := g.now()
		own, wrote := g.report(ctx)
		if wrote == nil && next < 0 {
			next = max(own-backlogRecords, 0)
		}
		var err error
		if next >= 0 {
			next, err = g.readReports(ctx, next)
		}
		if err != nil || wrote != nil {
			events.Log(g.Logger, events.ReportFailed, zap.String("operation", "report"), zap.Error(errors.Join(wrote, err)))
		}
		g.pauseReports(ctx, began)
	}
	return nil
}

func (g *Gateway) pauseReports(ctx context.Context, began time.Time) {
	g.mu.Lock()
	interval := max(reportInterval, reportPerInstance*time.Duration(len(g.peers)))
	if len(g.suspects.deaths) > 0 {
		interval = deathInterval
	}
	g.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(interval - g.now().Sub(began)):
	}
}

// report appends what was granted since the last report, and returns where.
func (g *Gateway) report(ctx context.Context) (at ids.Offset, err error) {
	g.mu.Lock()
	deaths, survived := g.suspects.deaths, g.suspects.survived
	g.suspects.deaths, g.suspects.survived = nil, nil
	g.mu.Unlock()
	var usage []quota.Usage
	g.grants.View(func(k *quota.Keeper, _ *quota.Members) { usage = k.Report() })
	w := wireReport{
		Instance: g.Settings.Instance.ID, Run: g.RunID, AtMs: g.now().UnixMilli(),
		Address: g.Settings.Relay.Advertise, Zone: g.Settings.Instance.Zone, ReachesLog: g.Log.Reachable(),
		Leaving: g.draining.Load(), Survived: survived,
	}
	for _, u := range usage {
		w.Usage = append(w.Usage, wireUsage(u))
	}
	for _, d := range deaths {
		w.Deaths = append(w.Deaths, wireDeath(d))
	}
	data, err := json.Marshal(w)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		at, err = g.Source.Log.Append(ctx, reportsPartition, partlog.Anywhere, data)
	}
	if err != nil {
		// A report whose answer was lost may be there and is written again: others then deduct it twice, which refuses
		// rather than exceeds.
		g.grants.View(func(k *quota.Keeper, _ *quota.Members) { k.Restore(usage) })
		g.mu.Lock()
		g.suspects.deaths = append(deaths, g.suspects.deaths...)
		g.suspects.survived = append(survived, g.suspects.survived...)
		g.mu.Unlock()
	}
	return at, err
}

// readReports reads the reports of all instances to the end and divides the rates anew.
func (g *Gateway) readReports(ctx context.Context, from ids.Offset) (next ids.Offset, err error) {
	for {
		try, cancel := context.WithTimeout(ctx, reportTimeout)
		page, err := g.Source.Log.Read(try, reportsPartition, from, 0)
		cancel()
		var gone *partlog.GoneError
		if errors.As(err, &gone) {
			from = gone.First
			continue
		}
		if err != nil {
			return from, err
		}
		g.takeReports(page)
		from = page.Next()
		if from >= page.End {
			return from, nil
		}
	}
}

func (g *Gateway) takeReports(page partlog.Page) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, data := range page.Records {
		var w wireReport
		if err := json.Unmarshal(data, &w); err != nil {
			events.Log(g.Logger, events.EntrySkipped, zap.String("stream", reportsPartition.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		at := time.UnixMilli(w.AtMs)
		if now.Sub(at) > backlogAge {
			continue
		}
		g.takeReport(now, at, w)
	}
	g.grants.View(func(_ *quota.Keeper, m *quota.Members) { m.DropOld(now) })
}

func (g *Gateway) takeReport(now, at time.Time, w wireReport) {
	own := w.Instance == g.Settings.Instance.ID && w.Run == g.RunID
	usage := make([]quota.Usage, len(w.Usage))
	for i, u := range w.Usage {
		usage[i] = quota.Usage(u)
	}
	newRun := g.runs[w.Instance] != w.Run
	g.runs[w.Instance] = w.Run
	g.grants.View(func(k *quota.Keeper, m *quota.Members) {
		m.Report(now, at, w.Instance, newRun, w.Leaving)
		if !own {
			k.Read(now, at, usage)
		}
	})
	if own {
		return
	}
	g.peers[w.Instance] = peer{seen: at, Peer: relay.Peer{Instance: w.Instance, Address: w.Address, Zone: w.Zone, ReachesLog: w.ReachesLog}}
	for _, d := range w.Deaths {
		g.suspects.tracker.Died(now, suspect.Death(d))
	}
	for _, f := range w.Survived {
		g.suspects.tracker.Survived(f)
	}
}

// peer is another instance by its last report.
type peer struct {
	relay.Peer
	seen time.Time
}

// addressOf returns where another instance is called.
func (g *Gateway) addressOf(id ids.InstanceID) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[id]
	return p.Address, ok
}

// peerKeep is how long an instance without reports may still be asked: reports stop while the log is away.
const peerKeep = time.Minute

// Peers returns the other instances.
func (g *Gateway) Peers() (l []relay.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, p := range g.peers {
		if now.Sub(p.seen) > peerKeep {
			delete(g.peers, id)
			delete(g.runs, id)
			continue
		}
		if id != g.Settings.Instance.ID {
			l = append(l, p.Peer)
		}
	}
	return l
}

// takeQuota uses one request of a workspace's rate. It waits a little before it refuses. Programs that have begun go before those that begin: a program that is refused midway has used its
// workspace's rate in vain.
func (g *Gateway) takeQuota(ctx context.Context, ws ids.WorkspaceID, asked int, priority int) (d grants.Decision, spare float64) {
	wait := begunWait
	switch {
	case asked == 0:
		spare, wait = min(spareToBegin+sparePerRank*float64(priority), mostSpare), beginWait
	case asked > longProgram:
		spare = spareOfLong
	}
	last := g.now().Add(wait)
	for {
		d = g.grants.Take(ctx, ws, spare)
		if d.OK || d.Retry > last.Sub(g.now()) || ctx.Err() != nil {
			return d, spare
		}
		select {
		case <-time.After(d.Retry):
		case <-ctx.Done():
		}
	}
}

const (
	// beginWait and begunWait are how long the first request of a program and its later ones wait for their workspace's
	// rate before they are refused.
	beginWait = 50 * time.Millisecond
	begunWait = 150 * time.Millisecond
	// spareToBegin is the part of a burst that must be left for a program of the highest priority to begin, sparePerRank
	// what each rank below adds.
	spareToBegin = 0.1
	sparePerRank = 0.1
	mostSpare    = 0.5
	// longProgram is the number of requests after which a program no longer goes before others: it may never end.
	longProgram = 60
	spareOfLong = 0.4
)

// programKeep is how long a program without requests counts as begun.
const programKeep = time.Minute

// programUse is what the gateway has seen of a program.
type programUse struct {
	requests int
	last     time.Time
}

// requestsOf returns how many requests of a program the gateway has let in.
func (g *Gateway) requestsOf(ws ids.WorkspaceID, p ids.ProgramID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.uses[account.Key{Workspace: ws, Program: p}].requests
}

// letIn counts a request of a program.
func (g *Gateway) letIn(now time.Time, ws ids.WorkspaceID, p ids.ProgramID) {
	if p == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	k := account.Key{Workspace: ws, Program: p}
	g.uses[k] = programUse{requests: g.uses[k].requests + 1, last: now}
}

func (g *Gateway) returnQuota(ws ids.WorkspaceID) {
	g.grants.Return(ws)
}

// died notes that a target broke off while it ran a request.
func (g *Gateway) died(f ids.Fingerprint, t ids.TargetID) {
	d := suspect.Death{Fingerprint: f, Target: t}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.tracker.Died(g.now(), d) > 0 {
		g.suspects.deaths = append(g.suspects.deaths, d)
	}
}

func (g *Gateway) survived(f ids.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.tracker.Survived(f) {
		g.suspects.survived = append(g.suspects.survived, f)
	}
}

func (g *Gateway) suspected(f ids.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.tracker.Refuse(f)
}
