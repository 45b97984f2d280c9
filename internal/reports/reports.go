// Package reports exchanges reports between instances through a partition of the platform's log. About once a second each
// instance writes that it runs, which shards of the rate limits it owns and which requests crashed targets, and reads the
// reports of the others.
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
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
	"github.com/comfreylink/comfreylink/pkg/quota"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

const (
	// interval is the minimum time between two reports of an instance. In a large fleet it is intervalPerInstance for each
	// other instance that owns no shards, so that one partition can take the reports of all.
	interval            = time.Second
	intervalPerInstance = 8 * time.Millisecond
	// startInterval is the time between the tries of a new run to read the reports of the others. It refuses turns until then.
	startInterval = 200 * time.Millisecond
	// startTime is how long after its start a run reads as often. All instances may be started together and report meanwhile.
	startTime = time.Second
	// appendPause is the longest pause after the first append that failed, and maxAppendFactor bounds how often it is doubled. While
	// the appends of hundreds of instances fail because too many wait, they must become fewer than the partition takes.
	appendPause     = 200 * time.Millisecond
	maxAppendFactor = 16
	// deathInterval is the time between reports while a target's death is still to be reported.
	deathInterval = 200 * time.Millisecond
	// backlogRecords is the number of reports from before the end of them that a new run reads first. All instances may start at once,
	// and reading the whole history would be too much for the log. But a shard's owner is known for certain only from a report
	// whose writer had read as far as the history begins, which was a second before. So these are the first reports of 400
	// instances and 2 s of reports: 1/intervalPerInstance and one of each shard's owner in a second.
	backlogRecords = 1000
	// backlogPeers is how many of these reports tell which other instances run. The older ones may be of instances that are gone.
	backlogPeers = 300
	// backlogAge is the age above which the deaths in a report of the backlog are ignored.
	backlogAge = 10 * time.Second
	// claimInterval is the minimum time between two attempts to claim shards, and claimTries the number of tries of each. A try
	// fails if another report that concerns the shard comes first.
	claimInterval = 20 * time.Millisecond
	claimTries    = 4
	// maxOwnWait is how long a run waits until it can read its own report. Readers of a zone read the log several times in it.
	maxOwnWait = 400 * time.Millisecond
	// timeout bounds one call to the log. Reads that were not answered are made again with more time.
	timeout = 500 * time.Millisecond
)

// ReaderBacklog is how many reports a reader keeps before the first one that it is asked for. That one is of the newest backlogPeers, and
// instances that start together begin to read at reports that are as far apart as their own first ones.
const ReaderBacklog = backlogRecords + 512

// Config holds the dependencies of Reports.
type Config struct {
	// Self describes this instance to the others. ReachesLog is not used; each report takes it from Reachable.
	Self relay.Peer
	// RunID distinguishes this run of the instance from earlier ones.
	RunID string
	Log   partlog.Log
	// Followed is the log for reads that need not have the newest report, such as the periodic ones; nil for Log.
	Followed partlog.Log
	Grants   *grants.RateLimiter
	// Reachable reports whether the instance reaches the log directly, Leaving whether it is about to stop.
	Reachable func() bool
	Leaving   func() bool
	Now       func() time.Time
	Logger    *zap.Logger
	// Writes is notified of the reports that are written. They show the end of an outage of the log also at an instance that
	// refuses all requests meanwhile. Reports that fail are no sign against the records of requests, which others may write.
	Writes *recordgate.Gate
}

// Reports writes this instance's reports and holds what the others have reported. It is safe for concurrent use.
type Reports struct {
	Config

	began time.Time

	mu       sync.Mutex
	suspects suspects
	crashes  crashes
	peers    map[ids.InstanceID]peer
	wanted   map[quota.Shard]struct{} // shards to claim
	decided  chan struct{}            // closed when the claims of the shards in wanted are decided
	wakeup   chan struct{}
	givenUp  bool // whether shards were given up that no report has released
	// reportedAt is when the newest report of another instance was read.
	reportedAt time.Time
	reads      partlog.Backoff // of the reports; only Run uses it
	// appends is the backoff of the appends to the partition, and appendAfter the time before which none is made. wroteAt is when the
	// last report was written.
	appends              partlog.Backoff
	appendAfter, wroteAt time.Time
	peersKnown           bool           // whether the newest reports were read for the other instances in them
	backlog              bool           // whether the reports being read were written before this run began to read
	discovered           chan struct{}  // closed when they are read
	end                  ids.Offset     // of the reports when this run began to read; Run sets it before it reads any
	failed               map[string]int // failures in a row by operation; only Run uses it
}

// New returns Reports that know no other instance.
func New(c Config) *Reports {
	if c.Followed == nil {
		c.Followed = c.Log
	}
	return &Reports{
		Config: c, began: c.Now(), suspects: newSuspects(), peers: make(map[ids.InstanceID]peer), wanted: make(map[quota.Shard]struct{}),
		decided: make(chan struct{}), wakeup: make(chan struct{}, 1), backlog: true, discovered: make(chan struct{}),
		reads:   partlog.Backoff{Timeout: timeout, Pause: startInterval},
		appends: partlog.Backoff{Timeout: timeout, Pause: appendPause, MaxFactor: maxAppendFactor},
		crashes: crashes{recorded: make(map[ids.Fingerprint]recordedCrash)}, failed: make(map[string]int),
	}
}

// Run writes and reads reports until the context ends.
func (r *Reports) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		began := r.Now()
		err := errors.Join(r.loadCrashes(ctx), r.claimWanted(ctx))
		own := r.writeIfDue(ctx, began)
		readErr := r.readNew(ctx, own)
		err = errors.Join(err, own.err, readErr, r.recordCrashesIfDue(ctx))
		if own.due || err != nil {
			r.logResult(operationReport, began, err, zap.Duration("appendWaited", own.waited), zap.Bool("appended", own.written()))
		}
		sleep(ctx, r.reads.Record(readErr))
		r.waitForNext(ctx, began)
	}
	return nil
}

// ownReport is what became of an own report.
type ownReport struct {
	due    bool
	at     ids.Offset
	waited time.Duration // for the append
	err    error
}

func (o ownReport) written() bool { return o.due && o.err == nil }

// writeIfDue writes a report if that is due.
func (r *Reports) writeIfDue(ctx context.Context, now time.Time) (own ownReport) {
	if own.due = r.writeDue(now); !own.due {
		return own
	}
	began := r.Now()
	own.at, own.err = r.Write(ctx)
	own.waited = r.Now().Sub(began)
	return own
}

// readNew reads the reports up to the end, and up to an own one that was just written.
func (r *Reports) readNew(ctx context.Context, own ownReport) error {
	if err := r.begin(ctx); err != nil {
		return err
	}
	if err := r.read(ctx, r.Followed); err != nil || !own.written() {
		return err
	}
	return r.awaitOwn(ctx, own.at)
}

// writeDue reports whether a report is to be written now: not shortly after an append that failed, nor shortly after the last report while
// this run is starting, when it reads more often than it writes.
func (r *Reports) writeDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	starting := r.backlog || now.Sub(r.began) < startTime
	return !now.Before(r.appendAfter) && !(starting && !r.wroteAt.IsZero() && now.Sub(r.wroteAt) < interval)
}

// waitForNext waits until the next report is due, and claims wanted shards meanwhile.
func (r *Reports) waitForNext(ctx context.Context, began time.Time) {
	r.mu.Lock()
	wait := max(interval, intervalPerInstance*time.Duration(len(r.peers)))
	switch {
	case r.backlog || began.Sub(r.began) < startTime:
		wait = startInterval
	case len(r.suspects.deaths) > 0:
		wait = deathInterval
	}
	again := r.appendAfter.Sub(began)
	r.mu.Unlock()
	if n, _ := r.held(); n > 0 {
		wait = min(wait, interval)
		if again > 0 && r.wroteAt.Before(began) {
			wait = min(wait, again) // the append has failed, and the leases end
		}
	}
	due := time.NewTimer(wait - r.Now().Sub(began))
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-due.C:
			return
		case <-r.wakeup:
		}
		claimBegan := r.Now()
		r.logResult(operationClaim, claimBegan, r.claimWanted(ctx))
		select {
		case <-ctx.Done():
			return
		case <-time.After(claimInterval):
		}
	}
}

// Write appends a report on everything since the last one and returns its offset.
func (r *Reports) Write(ctx context.Context) (at ids.Offset, err error) {
	var lease quota.Report
	r.Grants.View(func(l *quota.Limiter) {
		if r.Leaving() {
			l.Leases.Leave()
		}
		lease = l.NewReport(r.Now())
		r.logGranted(l)
	})
	return r.append(ctx, lease)
}

// append appends a report with what is to be reported of suspected requests.
func (r *Reports) append(ctx context.Context, lease quota.Report) (first ids.Offset, err error) {
	r.mu.Lock()
	deaths, survived := r.suspects.deaths, r.suspects.survived
	r.suspects.deaths, r.suspects.survived = nil, nil
	r.mu.Unlock()
	w := wireReport{
		Instance: r.Self.Instance, Run: r.RunID, AtMs: r.Now().UnixMilli(),
		Address: r.Self.Address, Zone: r.Self.Zone, CPU: r.Self.CPU, ReachesLog: r.Reachable(), Survived: survived,
	}
	lease.Complaints = r.Grants.Complaints()
	w.setLease(lease)
	for _, d := range deaths {
		w.Deaths = append(w.Deaths, wireDeath(d))
	}
	data, err := json.Marshal(w)
	if err == nil {
		first, err = r.appendRecord(ctx, data)
	}
	if err != nil {
		r.mu.Lock()
		r.suspects.deaths = append(deaths, r.suspects.deaths...)
		r.suspects.survived = append(survived, r.suspects.survived...)
		r.mu.Unlock()
	}
	return first, err
}

// maxAppendTime bounds an append of a report. The lease that it extends ends meanwhile.
const maxAppendTime = 2 * time.Second

// appendRecord appends a record to the partition of the reports.
func (r *Reports) appendRecord(ctx context.Context, data []byte) (first ids.Offset, err error) {
	r.mu.Lock()
	timeout := min(r.appends.Next(), maxAppendTime)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Lease), timeout)
	defer cancel()
	began := r.Now()
	first, err = r.Followed.Append(ctx, Partition, partlog.AnyOffset, data)
	now := r.Now()
	if err == nil {
		r.Writes.Succeeded(now.Sub(began))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appendAfter = now.Add(r.appends.RecordAppend(err)); err == nil {
		r.wroteAt = now
	}
	return first, err
}

// logGranted logs what this instance has granted since its last report, for each workspace.
func (r *Reports) logGranted(l *quota.Limiter) {
	_, validUntil := l.Leases.Held()
	now := r.Now()
	for _, u := range l.TakeUsage(now) {
		events.Log(r.Logger, events.RateGranted, zap.String("workspace", string(u.Workspace)), zap.Int("granted", u.Granted), zap.Int("withReserve", u.WithHeadroom),
			zap.Float64("tokens", u.Level), zap.Int("parts", u.Owned), zap.Float64("rate", u.Limit.Rate), zap.Float64("burst", u.Limit.Burst),
			zap.Duration("lease", validUntil.Sub(now)))
	}
}

// read reads and applies the reports of all instances up to the end of the partition, as a log shows it.
func (r *Reports) read(ctx context.Context, log partlog.Log) (err error) {
	for {
		from, ok := r.next()
		if !ok {
			return nil
		}
		page, err := r.readPage(ctx, log, from)
		if err != nil {
			return err
		}
		r.applyPage(page)
		if page.Next() >= page.End {
			r.endBacklog()
			return nil
		}
	}
}

// awaitOwn reads on until the own report at an offset is read, but not for longer than maxOwnWait. A reader of the zone may not have
// it yet, and without it the leases are as old as the report before.
func (r *Reports) awaitOwn(ctx context.Context, at ids.Offset) error {
	if n, _ := r.held(); n == 0 {
		return nil
	}
	for until := r.Now().Add(maxOwnWait); ; {
		from, ok := r.next()
		wait := until.Sub(r.Now())
		if !ok || from > at || wait <= 0 {
			return nil
		}
		ctx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Lease), wait+r.reads.Next())
		page, err := r.Followed.Read(ctx, Partition, from, wait)
		cancel()
		if err != nil {
			return err
		}
		r.applyPage(page)
	}
}

// readPage reads reports with the priority of the reports themselves: a lease is extended only when its report is read back.
func (r *Reports) readPage(ctx context.Context, log partlog.Log, from ids.Offset) (partlog.Page, error) {
	return partlog.ReadRetained(pacedlog.WithKind(ctx, logpace.Lease), log, Partition, from, r.reads.Next())
}

func (r *Reports) applyPage(page partlog.Page) {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Grants.View(func(l *quota.Limiter) {
		l.Leases.Begin(now, page.From)
		l.Leases.Members(now)
	})
	for i, data := range page.Records {
		var w wireReport
		if err := json.Unmarshal(data, &w); err != nil {
			events.Log(r.Logger, events.EntrySkipped, zap.String("stream", Partition.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			r.Grants.View(func(l *quota.Limiter) { l.Leases.Skip() })
			continue
		}
		r.applyLease(now, w.lease())
		if w.Instance == r.Self.Instance {
			continue
		}
		if page.From+ids.Offset(i) >= r.end-backlogPeers {
			r.applyPeer(now, w)
		}
		r.applySuspects(now, w)
	}
	r.giveUpShards(now)
}

func (r *Reports) applyPeer(now time.Time, w wireReport) {
	r.peers[w.Instance] = peer{reportedAt: now, leaving: w.Leaving, Peer: relay.Peer{
		Instance: w.Instance, Address: w.Address, Zone: w.Zone, CPU: w.CPU, ReachesLog: w.ReachesLog,
	}}
	r.reportedAt = now
}

func (r *Reports) applySuspects(now time.Time, w wireReport) {
	// The writer's clock may be apart from this one, so its times only tell old reports of the backlog apart.
	if r.backlog && now.Sub(time.UnixMilli(w.AtMs)) > backlogAge {
		return
	}
	for _, d := range w.Deaths {
		r.suspects.tracker.ReportDeath(now, suspect.Death(d))
	}
	for _, f := range w.Survived {
		r.suspects.tracker.Survived(f)
		delete(r.crashes.recorded, f)
	}
}
