package reports

import (
	"context"
	"encoding/json"
	"time"

	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// begin begins to read reports some time before their end, if that was not done yet. All reports before the end were sent before now.
// After an error it has not begun: a run that knows no other would read the whole backlog directly.
func (r *Reports) begin(ctx context.Context) error {
	if _, begun := r.next(); begun {
		return nil
	}
	endCtx, cancel := context.WithTimeout(pacedlog.WithKind(ctx, logpace.Lease), r.reads.Next())
	defer cancel()
	end, err := partlog.End(endCtx, r.Log, Partition)
	if err != nil {
		return err
	}
	if err := r.discover(ctx, end); err != nil {
		return err
	}
	r.Grants.View(func(l *quota.Limiter) {
		l.Leases.Begin(r.Now(), max(end-backlogRecords, 0))
		r.end = end
	})
	return nil
}

// discover learns from the reports just before an offset which other instances run. It reads only those, because the rest of the
// backlog can then be read through another instance.
func (r *Reports) discover(ctx context.Context, end ids.Offset) error {
	page, err := r.readPage(ctx, r.Followed, max(end-backlogPeers, 0))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, data := range page.Records {
		var w wireReport
		if json.Unmarshal(data, &w) == nil && w.Instance != r.Self.Instance {
			r.applyPeer(r.Now(), w)
		}
	}
	r.peersKnown = true
	return nil
}

// next returns the offset of the next report to read; ok is false before reading has begun.
func (r *Reports) next() (next ids.Offset, ok bool) {
	r.Grants.View(func(l *quota.Limiter) { next, ok = l.Leases.Next() })
	return next, ok
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
