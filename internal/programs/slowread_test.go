package programs_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// lateLog is a log that answers each read after 700 ms.
type lateLog struct{ *partlogtest.Log }

// Read implements partlog.Log.
func (l lateLog) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	select {
	case <-time.After(700 * time.Millisecond):
	case <-ctx.Done():
		return partlog.Page{}, partlog.ErrOutcomeUnknown
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against reads of the index and of dropped turns that are given up and repeated for as long as the log answers late.
func TestTurnsAreReadFromALateLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c.Assert(newStore(log).Put(ctx, programs.Turn{ID: "t", Program: program}), qt.IsNil)
		s := newStore(lateLog{log})
		_, err := s.Chain(ctx, time.Now(), program, "t")
		c.Assert(err, qt.IsNil)
		s.DropOld(time.Now().Add(time.Hour), turnRetention)
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err = s.Chain(ctx, time.Now(), program, "t")
		c.Assert(err, qt.IsNil)
	})
}
