package reports_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// slowFailingLog fails appends after a while until it is repaired.
type slowFailingLog struct {
	*partlogtest.Log
	repaired atomic.Bool
}

const appendDelay = 20 * time.Millisecond

func (l *slowFailingLog) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if !l.repaired.Load() {
		time.Sleep(appendDelay)
		return 0, partlog.ErrOutcomeUnknown
	}
	return l.Log.Append(ctx, p, at, records...)
}

// Guards against a failed report of which the log does not tell how long it was waited for and how many have failed before it.
func TestFailedReportsAreCounted(t *testing.T) {
	c := qt.New(t)
	log := &slowFailingLog{Log: partlogtest.New()}
	core, logged := observer.New(events.ReportFailed.Level)
	startWith(c, log, "a", time.Now, zap.New(core))
	eventually(c, func() bool { return logged.Len() >= 3 })
	for i, entry := range logged.All()[:3] {
		fields := entry.ContextMap()
		c.Assert(fields["operation"], qt.Equals, "report")
		c.Assert(fields["failures"], qt.Equals, int64(i+1))
		c.Assert(fields["appended"], qt.Equals, false)
		appendWaited := fields["appendWaited"].(time.Duration)
		c.Assert(appendWaited >= appendDelay, qt.IsTrue)
		c.Assert(fields["waited"].(time.Duration) >= appendWaited, qt.IsTrue)
	}
	log.repaired.Store(true)
	other := start(c, log, "b")
	eventually(c, func() bool { return len(other.Peers()) == 1 }) // a report of a was written
	log.repaired.Store(false)
	before := logged.Len()
	eventually(c, func() bool { return logged.Len() > before })
	c.Assert(logged.All()[before].ContextMap()["failures"], qt.Equals, int64(1))
}
