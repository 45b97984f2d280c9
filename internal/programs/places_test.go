package programs_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/account"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// withoutPartition is a log of which one partition is unavailable, or does not answer if it is silent.
type withoutPartition struct {
	*partlogtest.Log
	part   int
	silent bool
}

func (l withoutPartition) fail(ctx context.Context) error {
	if !l.silent {
		return unavailable
	}
	<-ctx.Done()
	return partlog.ErrOutcomeUnknown
}

// Append implements partlog.Log.
func (l withoutPartition) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if p.Part == l.part {
		return 0, l.fail(ctx)
	}
	return l.Log.Append(ctx, p, at, records...)
}

// Read implements partlog.Log.
func (l withoutPartition) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	if p.Part == l.part {
		return partlog.Page{}, l.fail(ctx)
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against turns that ran and are cut off at their end, because the partition that was chosen for their record is unavailable
// or silent while others are well.
func TestTurnIsWrittenToAnotherPartition(t *testing.T) {
	for part := range 2 {
		for _, silent := range []bool{false, true} {
			for writer := range 2 { // the first one leads both partitions
				c := qt.New(t)
				f := &fleet{log: partlogtest.New(), pick: func(int) (int, bool) { return 0, false }}
				log := withoutPartition{f.log, part, silent}
				for i := range 2 {
					f.stores = append(f.stores, programs.New(programs.Config{
						Log: log, Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: 2}, Leaders: member{f, i},
						WriteInterval: 20 * time.Millisecond, Now: time.Now, Logger: zap.NewNop(),
					}))
				}
				ctx, cancel := oneSecond()
				defer cancel()
				key := account.Key{Workspace: "w", Program: "p"}
				turn := programs.Turn{ID: "t1", Program: key, Input: []byte("in"), Output: []byte("out")}
				c.Assert(f.stores[writer].Put(ctx, turn), qt.IsNil, qt.Commentf("writer %d without partition %d, silent %v", writer, part, silent))
				chain, err := f.stores[0].Chain(ctx, time.Now(), key, call.ID("t1"))
				c.Assert(err, qt.IsNil)
				c.Assert(chain, qt.HasLen, 1)
			}
		}
	}
}
