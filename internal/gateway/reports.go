package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

const (
	// reportInterval is the shortest time between two reports of an instance in a small fleet, reportPerInstance what each
	// instance adds to it, so that the reports of all fit into one partition.
	reportInterval    = 400 * time.Millisecond
	reportPerInstance = 8 * time.Millisecond
	// idleReportInterval is the time between the reports of an instance that nobody asks.
	idleReportInterval = time.Second
	// urgentInterval is the shortest time before a report that a refused request asks for.
	urgentInterval = 120 * time.Millisecond
	// instanceKeep is how long an instance without reports is counted.
	instanceKeep = 4 * time.Second
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
	// ReachesLog is false if the instance reaches the log through others only.
	ReachesLog bool        `json:"reachesLog"`
	Usage      []wireUsage `json:"usage,omitempty"`
	Deaths     []wireDeath `json:"deaths,omitempty"`
}

type wireUsage struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Used      int             `json:"used"`
	Asked     int             `json:"asked"`
}

type wireDeath struct {
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Target      ids.TargetID    `json:"target"`
}

// suspects are the requests under which targets died, and the deaths that were not reported yet.
type suspects struct {
	tracker *suspect.Tracker
	unsent  []suspect.Death
}

func newSuspects() suspects { return suspects{tracker: suspect.New()} }

// runReports writes and reads reports until the context ends.
func (g *Gateway) runReports(ctx context.Context) error {
	next := ids.Offset(0)
	for ctx.Err() == nil {
		began := g.now()
		wrote := g.report(ctx)
		var err error
		if next, err = g.readReports(ctx, next); err != nil || wrote != nil {
			events.Log(g.Logger, events.ReportFailed, zap.String("operation", "report"), zap.Error(errors.Join(wrote, err)))
		}
		g.pauseReports(ctx, began)
	}
	return nil
}

func (g *Gateway) pauseReports(ctx context.Context, began time.Time) {
	g.mu.Lock()
	interval := max(reportInterval, reportPerInstance*time.Duration(g.quota.Instances()))
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-g.urgent:
		if early := urgentInterval - g.now().Sub(began); early > 0 {
			time.Sleep(early)
		}
		return
	case <-time.After(interval):
	}
	g.mu.Lock()
	busy := g.quota.Busy() || len(g.suspects.unsent) > 0
	g.mu.Unlock()
	if busy {
		return
	}
	select {
	case <-ctx.Done():
	case <-g.urgent:
	case <-time.After(max(idleReportInterval-interval, 0)):
	}
}

// report appends what was used since the last report.
func (g *Gateway) report(ctx context.Context) error {
	g.mu.Lock()
	usage := g.quota.Report()
	deaths := g.suspects.unsent
	g.suspects.unsent = nil
	g.mu.Unlock()
	w := wireReport{
		Instance: g.Settings.Instance.ID, Run: g.RunID, AtMs: g.now().UnixMilli(),
		Address: g.Settings.Relay.Advertise, Zone: g.Settings.Instance.Zone, ReachesLog: g.Log.Reachable(),
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
		_, err = g.Source.Log.Append(ctx, reportsPartition, partlog.Anywhere, data)
	}
	if err != nil {
		// A report whose answer was lost may be there and is written again: others then deduct it twice, which refuses
		// rather than exceeds.
		g.mu.Lock()
		g.quota.Restore(usage)
		g.suspects.unsent = append(deaths, g.suspects.unsent...)
		g.mu.Unlock()
	}
	return err
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
	if page.Next() >= page.End {
		g.quota.Share(now)
		close(g.shared)
		g.shared = make(chan struct{})
		events.Log(g.Logger, events.QuotaShared, zap.Int("instances", g.quota.Instances()))
	}
}

func (g *Gateway) takeReport(now, at time.Time, w wireReport) {
	own := w.Instance == g.Settings.Instance.ID && w.Run == g.RunID
	usage := make([]quota.Usage, len(w.Usage))
	for i, u := range w.Usage {
		usage[i] = quota.Usage(u)
	}
	g.quota.Read(now, at, w.Instance, own, usage)
	if own {
		return
	}
	g.peers[w.Instance] = peer{seen: at, Peer: relay.Peer{Instance: w.Instance, Address: w.Address, Zone: w.Zone, ReachesLog: w.ReachesLog}}
	for _, d := range w.Deaths {
		g.suspects.tracker.Died(now, suspect.Death(d))
	}
}

// peer is another instance by its last report.
type peer struct {
	relay.Peer
	seen time.Time
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
			continue
		}
		if id != g.Settings.Instance.ID {
			l = append(l, p.Peer)
		}
	}
	return l
}

// takeQuota uses one request of a workspace's rate. It waits a little for the next division of the rates before it
// refuses.
func (g *Gateway) takeQuota(ctx context.Context, ws ids.WorkspaceID) (ok bool, retry time.Duration) {
	last := g.now().Add(quotaWait)
	for {
		g.mu.Lock()
		ok, retry = g.quota.Take(g.now(), ws)
		shared := g.shared
		g.mu.Unlock()
		left := last.Sub(g.now())
		if ok || left <= 0 {
			return ok, retry
		}
		select {
		case g.urgent <- struct{}{}:
		default:
		}
		select {
		case <-shared:
		case <-time.After(min(left, max(retry, time.Millisecond))):
		case <-ctx.Done():
			return false, retry
		}
	}
}

// quotaWait is how long a request waits for its workspace's rate before it is refused.
const quotaWait = 60 * time.Millisecond

func (g *Gateway) returnQuota(ws ids.WorkspaceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.Return(ws)
}

// died notes that a target broke off while it ran a request.
func (g *Gateway) died(f ids.Fingerprint, t ids.TargetID) {
	d := suspect.Death{Fingerprint: f, Target: t}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.tracker.Died(g.now(), d) > 0 {
		g.suspects.unsent = append(g.suspects.unsent, d)
	}
}

func (g *Gateway) survived(f ids.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.tracker.Survived(f)
}

func (g *Gateway) suspected(f ids.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.tracker.Refuse(f)
}
