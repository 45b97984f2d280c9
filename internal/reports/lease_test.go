package reports_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/grants"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/reports"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// silentAppends is a log that takes 100 ms for an append, and does not answer some.
type silentAppends struct {
	*partlogtest.Log
	silent atomic.Int64 // how many are not answered
}

// Append implements partlog.Log.
func (l *silentAppends) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if l.silent.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, partlog.ErrOutcomeUnknown
	}
	time.Sleep(100 * time.Millisecond)
	return l.Log.Append(ctx, p, at, records...)
}

// Guards against an owner whose lease ends because it makes no report for a second after two that were not answered.
func TestLeaseOutlastsTwoUnansweredReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := &silentAppends{Log: partlogtest.New()}
		limiter := grants.New(grants.Config{Self: quota.Run{Instance: "a"}, Now: time.Now})
		r := reports.New(reports.Config{
			Self: relay.Peer{Instance: "a"}, Log: log, Grants: limiter, Reachable: func() bool { return true },
			Leaving: func() bool { return false }, Now: time.Now, Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		defer func() {
			cancel()
			c.Check(<-ended, qt.IsNil)
		}()
		left := func() (left time.Duration) {
			limiter.View(func(l *quota.Limiter) {
				if n, until := l.Leases.Held(); n > 0 {
					left = time.Until(until)
				}
			})
			return left
		}
		for left() <= 0 {
			r.Claim(ctx, 1)
		}
		time.Sleep(3500 * time.Millisecond)
		log.silent.Store(2)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			c.Assert(left() > 0, qt.IsTrue)
		}
	})
}
