// Package reports tells the instances of each other through a partition of the platform's log: each writes every second
// or so that it runs, what it has granted and which requests crashed targets, and reads what the others wrote.
package reports

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

const (
	// interval is the time between two reports of an instance in a small fleet, intervalPerInstance what each instance
	// adds to it, so that the reports of all fit into one partition.
	interval            = time.Second
	intervalPerInstance = 8 * time.Millisecond
	// deathInterval is the time between reports while a target's death is to be told.
	deathInterval = 200 * time.Millisecond
	// backlogRecords is how many reports before its own first one a new run reads: those of some seconds. All instances may
	// start at once, and together they must not read the whole history.
	backlogRecords = 300
	// backlogAge is how old a report may be that a new run still reads.
	backlogAge = 10 * time.Second
	// timeout bounds one call to the log.
	timeout = 500 * time.Millisecond
)

var partition = partlog.Partition{Topic: "reports"}

// Config is what reports are made of.
type Config struct {
	// Self is what others learn of this instance; ReachesLog is found out for each report.
	Self relay.Peer
	// RunID tells this run of the instance from earlier ones.
	RunID  string
	Log    partlog.Log
	Grants *grants.Grantor
	// Reachable reports whether the instance reaches the log itself, Leaving whether it is about to end.
	Reachable func() bool
	Leaving   func() bool
	Now       func() time.Time
	Logger    *zap.Logger
}

// Reports is what the instances know of each other. It is safe for concurrent use.
type Reports struct {
	Config

	mu       sync.Mutex
	suspects suspects
	peers    map[ids.InstanceID]peer
	runs     map[ids.InstanceID]string // the last run of each instance that reported
}

// New returns reports that know of no other instance.
func New(c Config) *Reports {
	return &Reports{
		Config: c, suspects: newSuspects(), peers: make(map[ids.InstanceID]peer), runs: make(map[ids.InstanceID]string),
	}
}

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

// Run writes and reads reports until the context ends.
func (r *Reports) Run(ctx context.Context) error {
	next := ids.Offset(-1)
	for ctx.Err() == nil {
		began := r.Now()
		own, wrote := r.Write(ctx)
		if wrote == nil && next < 0 {
			next = max(own-backlogRecords, 0)
		}
		var err error
		if next >= 0 {
			next, err = r.read(ctx, next)
		}
		if err != nil || wrote != nil {
			events.Log(r.Logger, events.ReportFailed, zap.String("operation", "report"), zap.Error(errors.Join(wrote, err)))
		}
		r.pause(ctx, began)
	}
	return nil
}

func (r *Reports) pause(ctx context.Context, began time.Time) {
	r.mu.Lock()
	wait := max(interval, intervalPerInstance*time.Duration(len(r.peers)))
	if len(r.suspects.deaths) > 0 {
		wait = deathInterval
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(wait - r.Now().Sub(began)):
	}
}

// Write appends what was granted since the last report, and returns where.
func (r *Reports) Write(ctx context.Context) (at ids.Offset, err error) {
	r.mu.Lock()
	deaths, survived := r.suspects.deaths, r.suspects.survived
	r.suspects.deaths, r.suspects.survived = nil, nil
	r.mu.Unlock()
	var usage []quota.Usage
	r.Grants.View(func(k *quota.Limiter, _ *quota.Members) { usage = k.Report() })
	w := wireReport{
		Instance: r.Self.Instance, Run: r.RunID, AtMs: r.Now().UnixMilli(),
		Address: r.Self.Address, Zone: r.Self.Zone, ReachesLog: r.Reachable(),
		Leaving: r.Leaving(), Survived: survived,
	}
	for _, u := range usage {
		w.Usage = append(w.Usage, wireUsage(u))
	}
	for _, d := range deaths {
		w.Deaths = append(w.Deaths, wireDeath(d))
	}
	data, err := json.Marshal(w)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		at, err = r.Log.Append(ctx, partition, partlog.AnyOffset, data)
	}
	if err != nil {
		// A report whose answer was lost may be there and is written again: others then deduct it twice, which refuses
		// rather than exceeds.
		r.Grants.View(func(k *quota.Limiter, _ *quota.Members) { k.Restore(usage) })
		r.mu.Lock()
		r.suspects.deaths = append(deaths, r.suspects.deaths...)
		r.suspects.survived = append(survived, r.suspects.survived...)
		r.mu.Unlock()
	}
	return at, err
}

// read reads the reports of all instances to the end and divides the rates anew.
func (r *Reports) read(ctx context.Context, from ids.Offset) (next ids.Offset, err error) {
	for {
		page, err := partlog.ReadRetained(ctx, r.Log, partition, from, timeout)
		if err != nil {
			return from, err
		}
		r.take(page)
		from = page.Next()
		if from >= page.End {
			return from, nil
		}
	}
}

func (r *Reports) take(page partlog.Page) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, data := range page.Records {
		var w wireReport
		if err := json.Unmarshal(data, &w); err != nil {
			events.Log(r.Logger, events.EntrySkipped, zap.String("stream", partition.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		at := time.UnixMilli(w.AtMs)
		if now.Sub(at) > backlogAge {
			continue
		}
		r.takeOne(now, at, w)
	}
	r.Grants.View(func(_ *quota.Limiter, m *quota.Members) { m.DropOld(now) })
}

func (r *Reports) takeOne(now, at time.Time, w wireReport) {
	own := w.Instance == r.Self.Instance && w.Run == r.RunID
	usage := make([]quota.Usage, len(w.Usage))
	for i, u := range w.Usage {
		usage[i] = quota.Usage(u)
	}
	newRun := r.runs[w.Instance] != w.Run
	r.runs[w.Instance] = w.Run
	r.Grants.View(func(k *quota.Limiter, m *quota.Members) {
		m.Report(now, at, w.Instance, newRun, w.Leaving)
		if !own {
			k.Merge(now, at, usage)
		}
	})
	if own {
		return
	}
	r.peers[w.Instance] = peer{seen: at, Peer: relay.Peer{Instance: w.Instance, Address: w.Address, Zone: w.Zone, ReachesLog: w.ReachesLog}}
	for _, d := range w.Deaths {
		r.suspects.tracker.Died(now, suspect.Death(d))
	}
	for _, f := range w.Survived {
		r.suspects.tracker.Survived(f)
	}
}
