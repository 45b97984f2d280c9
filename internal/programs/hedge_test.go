package programs_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
)

// stuckLeader is a leader that is alive and does not answer, for instance because its own calls to the log hang.
type stuckLeader struct{}

func (stuckLeader) Do(ctx context.Context, _ partlog.Partition, _ string, _, _ any, _ func() error) (unanswered bool, err error) {
	<-ctx.Done()
	return true, ctx.Err()
}

func (stuckLeader) Near(l []partlog.Partition) []partlog.Partition { return l }

func (stuckLeader) Rank(partlog.Partition) int { return 1 }

func newStoreOfStuckLeader() (*programs.Store, *partlogtest.Log) {
	log := partlogtest.New()
	return programs.New(programs.Config{
		Log: log, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: 1}, Leaders: stuckLeader{}, Now: time.Now, Logger: zap.NewNop(),
	}), log
}

// Guards against complete answers that are cut off because the leader of their partition is cut off from the log.
func TestTurnOfStuckLeaderIsWritten(t *testing.T) {
	c := qt.New(t)
	s, log := newStoreOfStuckLeader()
	ctx, cancel := oneSecond()
	defer cancel()
	c.Assert(s.Put(ctx, programs.Turn{ID: "t1"}), qt.IsNil)
	c.Assert(log.Records(), qt.HasLen, 1)
}

// Guards against instances that write all records themselves while the log is slow for everybody, which makes it slower.
func TestHedgesAreBounded(t *testing.T) {
	c := qt.New(t)
	s, log := newStoreOfStuckLeader()
	ctx, cancel := oneSecond()
	defer cancel()
	const turns = 100
	var tasks sync.WaitGroup
	for i := range turns {
		tasks.Go(func() { _ = s.Put(ctx, programs.Turn{ID: call.ID(fmt.Sprint("t", i))}) })
	}
	tasks.Wait()
	written := len(log.Records())
	c.Assert(written > 0 && written <= turns/4, qt.IsTrue, qt.Commentf("%d of %d", written, turns))
}
