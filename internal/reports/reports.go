// Package reports exchanges reports between instances through a partition of the platform's log. About once a second each
// instance writes that it runs, what it has granted and which requests crashed targets, and reads the reports of the
// others.
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
	// interval is the minimum time between two reports of an instance. In a large fleet it is intervalPerInstance for each
	// other instance, so that one partition can take the reports of all.
	interval            = time.Second
	intervalPerInstance = 8 * time.Millisecond
	// deathInterval is the time between reports while a target's death is still to be reported.
	deathInterval = 200 * time.Millisecond
	// backlogRecords is the number of reports before its own first one that a new run reads, which are those of a few
	// seconds. All instances may start at once, and reading the whole history would be too much for the log.
	backlogRecords = 300
	// backlogAge is the age above which reports are ignored.
	backlogAge = 10 * time.Second
	// timeout bounds one call to the log.
	timeout = 500 * time.Millisecond
)

var partition = partlog.Partition{Topic: "reports"}

// Config holds the dependencies of Reports.
type Config struct {
	// Self describes this instance to the others. ReachesLog is not used; each report takes it from Reachable.
	Self relay.Peer
	// RunID distinguishes this run of the instance from earlier ones.
	RunID  string
	Log    partlog.Log
	Grants *grants.RateLimiter
	// Reachable reports whether the instance reaches the log directly, Leaving whether it is about to stop.
	Reachable func() bool
	Leaving   func() bool
	Now       func() time.Time
	Logger    *zap.Logger
}

// Reports writes this instance's reports and holds what the others have reported. It is safe for concurrent use.
type Reports struct {
	Config

	mu       sync.Mutex
	suspects suspects
	peers    map[ids.InstanceID]peer
	runs     map[ids.InstanceID]string // the last run of each instance that reported
}

// New returns Reports that know no other instance.
func New(c Config) *Reports {
	return &Reports{
		Config: c, suspects: newSuspects(), peers: make(map[ids.InstanceID]peer), runs: make(map[ids.InstanceID]string),
	}
}

// wireReport is the encoding of a report in the log.
type wireReport struct {
	Instance ids.InstanceID `json:"instance"`
	Run      string         `json:"run"`
	AtMs     int64          `json:"atMs"`
	Address  string         `json:"address"`
	Zone     ids.Zone       `json:"zone"`
	// Leaving is set once a planned stop has begun.
	Leaving bool `json:"leaving,omitempty"`
	// ReachesLog is false if the instance reaches the log only through others.
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
		at, writeErr := r.Write(ctx)
		if writeErr == nil && next < 0 {
			next = max(at-backlogRecords, 0)
		}
		var err error
		if next >= 0 {
			next, err = r.read(ctx, next)
		}
		if err != nil || writeErr != nil {
			events.Log(r.Logger, events.ReportFailed, zap.String("operation", "report"), zap.Error(errors.Join(writeErr, err)))
		}
		r.waitForNext(ctx, began)
	}
	return nil
}

func (r *Reports) waitForNext(ctx context.Context, began time.Time) {
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

// Write appends a report on everything since the last one and returns its offset.
func (r *Reports) Write(ctx context.Context) (at ids.Offset, err error) {
	r.mu.Lock()
	deaths, survived := r.suspects.deaths, r.suspects.survived
	r.suspects.deaths, r.suspects.survived = nil, nil
	r.mu.Unlock()
	var usage []quota.Usage
	r.Grants.View(func(l *quota.Limiter, _ *quota.Members) {
		usage = l.Report()
		r.logGranted(l, usage)
	})
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
		// If only the answer was lost, the grants are reported twice and others deduct them twice. That refuses requests
		// within the rate, which is better than exceeding it.
		r.Grants.View(func(l *quota.Limiter, _ *quota.Members) { l.Restore(usage) })
		r.mu.Lock()
		r.suspects.deaths = append(deaths, r.suspects.deaths...)
		r.suspects.survived = append(survived, r.suspects.survived...)
		r.mu.Unlock()
	}
	return at, err
}

// logGranted logs what this instance has granted since its last report, for each workspace.
func (r *Reports) logGranted(l *quota.Limiter, usage []quota.Usage) {
	for _, u := range usage {
		s, _ := l.State(r.Now(), u.Workspace)
		events.Log(r.Logger, events.RateGranted, zap.String("workspace", string(u.Workspace)), zap.Int("granted", u.Granted),
			zap.Float64("level", s.Level), zap.Float64("rate", s.Limit.Rate), zap.Float64("burst", s.Limit.Burst), zap.Duration("bucketAge", s.Age))
	}
}

// read reads and applies the reports of all instances up to the end of the partition.
func (r *Reports) read(ctx context.Context, from ids.Offset) (next ids.Offset, err error) {
	for {
		page, err := partlog.ReadRetained(ctx, r.Log, partition, from, timeout)
		if err != nil {
			return from, err
		}
		r.applyPage(page)
		from = page.Next()
		if from >= page.End {
			return from, nil
		}
	}
}

func (r *Reports) applyPage(page partlog.Page) {
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
		r.apply(now, at, w)
	}
	r.Grants.View(func(_ *quota.Limiter, m *quota.Members) { m.DropOld(now) })
}

func (r *Reports) apply(now, at time.Time, w wireReport) {
	own := w.Instance == r.Self.Instance && w.Run == r.RunID
	usage := make([]quota.Usage, len(w.Usage))
	for i, u := range w.Usage {
		usage[i] = quota.Usage(u)
	}
	newRun := r.runs[w.Instance] != w.Run
	r.runs[w.Instance] = w.Run
	r.Grants.View(func(l *quota.Limiter, m *quota.Members) {
		m.Report(now, at, w.Instance, newRun, w.Leaving)
		if !own {
			l.Merge(now, at, usage)
		}
	})
	if own {
		return
	}
	r.peers[w.Instance] = peer{reportedAt: at, Peer: relay.Peer{Instance: w.Instance, Address: w.Address, Zone: w.Zone, ReachesLog: w.ReachesLog}}
	for _, d := range w.Deaths {
		r.suspects.tracker.ReportDeath(now, suspect.Death(d))
	}
	for _, f := range w.Survived {
		r.suspects.tracker.Survived(f)
	}
}
