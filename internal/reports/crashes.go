package reports

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// crashPartition holds the requests that have crashed targets, for runs that start later (docs/design/crashing-requests.md).
var crashPartition = partlog.Partition{Topic: "crashes"}

const (
	// minRecordedDeaths is how many deaths a request must have to be recorded. A failing zone makes one for each of the
	// requests that run there, and recording these would add to the load of the log.
	minRecordedDeaths = 2
	// crashInterval is the minimum time between two appends of an instance, maxCrashRecords the number of records of each.
	crashInterval   = time.Second
	maxCrashRecords = 256
	// renewInterval is how much later than the recorded ones a death of a target that has died before must be to be recorded.
	renewInterval = 30 * time.Second
	// maxLoaded is the number of records that a new run reads at most. It is the number of requests that it can track.
	maxLoaded = 10_000
)

// wireCrash is the encoding of what was known of a request that has crashed targets.
type wireCrash struct {
	Fingerprint ids.Fingerprint  `json:"fingerprint"`
	AtMs        int64            `json:"atMs"`
	Deaths      []wireDatedDeath `json:"deaths,omitempty"`
	// Survived is set if a target has completed the request, which clears the deaths in earlier records.
	Survived bool `json:"survived,omitempty"`
}

type wireDatedDeath struct {
	Target ids.TargetID `json:"target"`
	Born   int64        `json:"born,omitempty"`
	// AgeMs is the time from the death to the record.
	AgeMs int64 `json:"ageMs"`
}

// crashes tracks which requests this instance has to record. An instance records the requests of which it has seen a death
// itself, so that not all instances write the same.
type crashes struct {
	// recorded holds the requests of which this instance has seen a death, with what its last record says.
	recorded map[ids.Fingerprint]recordedCrash
	survived []ids.Fingerprint // completed requests that may have been recorded
	wroteAt  time.Time
	// loaded is set when the records of earlier runs were read, and loading is what was read of them before. Only Run uses them.
	loaded  bool
	loading crashRecords
}

// crashRecords are the records of earlier runs by request, and which are still to be read.
type crashRecords struct {
	next, end ids.Offset
	known     map[ids.Fingerprint][]wireCrash
}

// recordedCrash is the content of a record: the number of deaths and the time of the last one.
type recordedCrash struct {
	deaths int
	last   time.Time
}

// outdated reports whether the deaths that are known of a request must be recorded.
func (c recordedCrash) outdated(deaths []suspect.DatedDeath) bool {
	if len(deaths) < minRecordedDeaths {
		return false
	}
	return len(deaths) > c.deaths || lastDeath(deaths).Sub(c.last) >= renewInterval
}

// lastDeath returns the time of the newest death.
func lastDeath(deaths []suspect.DatedDeath) (last time.Time) {
	for _, d := range deaths {
		if d.At.After(last) {
			last = d.At
		}
	}
	return last
}

// dueCrashes returns what is to be recorded, and marks it as recorded.
func (r *Reports) dueCrashes(now time.Time) (l []wireCrash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.crashes.survived) > 0 && len(l) < maxCrashRecords {
		l = append(l, wireCrash{Fingerprint: r.crashes.survived[0], AtMs: now.UnixMilli(), Survived: true})
		r.crashes.survived = r.crashes.survived[1:]
	}
	for f, recorded := range r.crashes.recorded {
		if len(l) >= maxCrashRecords {
			break
		}
		deaths := r.suspects.tracker.Deaths(f)
		if !recorded.outdated(deaths) {
			continue
		}
		r.crashes.recorded[f] = recordedCrash{deaths: len(deaths), last: lastDeath(deaths)}
		w := wireCrash{Fingerprint: f, AtMs: now.UnixMilli()}
		for _, d := range deaths {
			w.Deaths = append(w.Deaths, wireDatedDeath{Target: d.Target, Born: d.Born, AgeMs: max(now.Sub(d.At), 0).Milliseconds()})
		}
		l = append(l, w)
	}
	if len(l) > 0 {
		r.crashes.wroteAt = now
	}
	return l
}

// recordCrashesIfDue calls RecordCrashes unless the last append is less than crashInterval ago.
func (r *Reports) recordCrashesIfDue(ctx context.Context) error {
	r.mu.Lock()
	wait := r.Now().Sub(r.crashes.wroteAt) < crashInterval
	r.mu.Unlock()
	if wait {
		return nil
	}
	return r.RecordCrashes(ctx)
}

// RecordCrashes appends what new runs must know of the requests that have crashed targets.
func (r *Reports) RecordCrashes(ctx context.Context) error {
	due := r.dueCrashes(r.Now())
	if len(due) == 0 {
		return nil
	}
	records := make([][]byte, 0, len(due))
	var err error
	for _, w := range due {
		data, encodeErr := json.Marshal(w)
		err = errors.Join(err, encodeErr)
		records = append(records, data)
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Lease), timeout)
		defer cancel()
		_, err = r.Log.Append(ctx, crashPartition, partlog.AnyOffset, records...)
	}
	if err != nil {
		r.recordLater(due)
	}
	return err
}

// recordLater makes records due again after they could not be appended.
func (r *Reports) recordLater(due []wireCrash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range due {
		if w.Survived {
			r.crashes.survived = append(r.crashes.survived, w.Fingerprint)
		} else if _, ok := r.crashes.recorded[w.Fingerprint]; ok {
			r.crashes.recorded[w.Fingerprint] = recordedCrash{}
		}
	}
}

// loadCrashes reads what earlier runs and other instances have recorded before this run began. It does nothing once that has
// succeeded.
func (r *Reports) loadCrashes(ctx context.Context) error {
	if r.crashes.loaded {
		return nil
	}
	l := &r.crashes.loading
	if l.known == nil {
		l.end, l.known = 1, make(map[ids.Fingerprint][]wireCrash)
	}
	for l.next < l.end {
		page, err := partlog.ReadRetained(ctx, r.Log, crashPartition, l.next, timeout)
		if err != nil {
			return err
		}
		r.mergeCrashes(l.known, page)
		if len(page.Records) == 0 {
			break
		}
		l.next, l.end = max(page.Next(), page.End-maxLoaded), page.End
	}
	known := l.known
	r.crashes.loaded, r.crashes.loading = true, crashRecords{}
	now := r.Now()
	for f, records := range known {
		for _, w := range records {
			// The writer's clock may be ahead of this one.
			age := max(now.Sub(time.UnixMilli(w.AtMs)), 0)
			for _, d := range w.Deaths {
				at := now.Add(-age - max(time.Duration(d.AgeMs), 0)*time.Millisecond)
				r.suspects.tracker.RestoreDeath(now, at, suspect.Death{Fingerprint: f, Target: d.Target, Born: d.Born})
			}
		}
	}
	return nil
}

// mergeCrashes adds the records of a page to those that are known of each request. A record that a request has survived removes
// the earlier ones.
func (r *Reports) mergeCrashes(known map[ids.Fingerprint][]wireCrash, page partlog.Page) {
	for i, data := range page.Records {
		var w wireCrash
		if err := json.Unmarshal(data, &w); err != nil {
			events.Log(r.Logger, events.EntrySkipped, zap.String("stream", crashPartition.Topic),
				zap.Int64("offset", int64(page.From)+int64(i)), zap.String("reason", err.Error()))
			continue
		}
		if w.Survived {
			delete(known, w.Fingerprint)
			continue
		}
		known[w.Fingerprint] = append(known[w.Fingerprint], w)
	}
}
