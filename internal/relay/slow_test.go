package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// slowLog is a log that answers reads after readTime and appends after appendTime, and makes them all the same if their callers have
// gone.
type slowLog struct {
	partlog.Log
	readTime, appendTime atomic.Int64 // nanoseconds
	large                atomic.Int64 // reads of records, which are those from below the end
}

func (l *slowLog) wait(ctx context.Context, d *atomic.Int64) error {
	select {
	case <-time.After(time.Duration(d.Load())):
		return nil
	case <-ctx.Done():
		return partlog.ErrOutcomeUnknown
	}
}

// Append implements partlog.Log.
func (l *slowLog) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if err := l.wait(ctx, &l.appendTime); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, p, at, records...)
}

// Read implements partlog.Log.
func (l *slowLog) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	if from == 0 {
		l.large.Add(1)
	}
	if err := l.wait(ctx, &l.readTime); err != nil {
		return partlog.Page{}, err
	}
	return l.Log.Read(ctx, p, from, wait)
}

func newSlowLog(c *qt.C) (*relay.Log, *slowLog) {
	slow := &slowLog{Log: partlogtest.New()}
	_, err := slow.Log.Append(c.Context(), part, partlog.AnyOffset, []byte("x"))
	c.Assert(err, qt.IsNil)
	return relay.New(relay.Config{Direct: slow, Peers: noPeers, Now: time.Now, Logger: zap.NewNop()}), slow
}

// Guards against an instance whose reads are not made any more because its appends wait too long: it tried the log with the next call,
// and each time that was an append.
func TestLateAppendsDoNotStopReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, slow := newSlowLog(c)
		slow.appendTime.Store(int64(2 * time.Second))
		slow.readTime.Store(int64(time.Hour))
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, _ = l.Append(ctx, part, partlog.AnyOffset, []byte("report"))
			cancel()
			ctx, cancel = context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := l.Read(ctx, part, 0, 0)
			return err
		}
		for l.Reachable() {
			_ = call()
		}
		slow.readTime.Store(int64(4 * time.Millisecond))
		for began := time.Now(); call() != nil; time.Sleep(50 * time.Millisecond) {
			c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
		}
		for range 20 {
			c.Assert(call(), qt.IsNil)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Hour)
	})
}

// Guards against reads that are given up and made again while the log still sends what was asked for before, so that it sends nothing that
// somebody waits for.
func TestLateReadIsNotRepeatedBeforeTheLogAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, slow := newSlowLog(c)
		slow.readTime.Store(int64(3 * time.Second))
		read := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := l.Read(ctx, part, 0, 0)
			return err
		}
		for range 10 {
			c.Assert(read(), qt.IsNotNil)
		}
		c.Assert(slow.large.Load(), qt.Equals, int64(1))
		slow.readTime.Store(int64(50 * time.Millisecond))
		for began := time.Now(); read() != nil; time.Sleep(100 * time.Millisecond) {
			c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against a log that answers each call after 0.4 s and is taken for unavailable for as long as that lasts, because a probe has less
// time.
func TestSlowLogIsFoundAvailableAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, slow := newSlowLog(c)
		slow.readTime.Store(int64(time.Hour))
		for l.Reachable() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = l.Read(ctx, part, 0, 0)
			cancel()
		}
		slow.readTime.Store(int64(400 * time.Millisecond))
		began := time.Now()
		for !l.Reachable() {
			c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = l.Read(ctx, part, 0, 0)
			cancel()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Hour)
	})
}

// Guards against a slow log that counts as one that does not answer: a small read that waits for another small read takes twice as long.
func TestSmallReadOfASlowLogIsMadeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, slow := newSlowLog(c)
		slow.readTime.Store(int64(300 * time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := l.Read(ctx, part, 0, 0)
		c.Assert(err, qt.ErrorIs, partlog.ErrOutcomeUnknown)
		ctx, cancel = context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err = partlog.End(ctx, l, part)
		c.Assert(err, qt.IsNil)
	})
}
