package logcache_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/logcache"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

var directoryPartition = partlog.Partition{Topic: "readers"}

// directoryLog is the log of an instance with a directory, which cannot be read if it is unavailable.
type directoryLog struct {
	*instance
	unavailable bool
}

// Newest implements partlog.Log.
func (l *directoryLog) Newest(ctx context.Context, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	if p != directoryPartition {
		return l.instance.Newest(ctx, p)
	}
	if l.unavailable {
		<-ctx.Done()
		return nil, 0, partlog.ErrOutcomeUnknown
	}
	page, err := l.Log.Read(ctx, p, 0, 0)
	for i, record := range page.Records {
		key, value, _ := strings.Cut(string(record), "=")
		entries = append(entries[:0], partlog.Entry{Key: key, Value: []byte(value), Offset: page.From + ids.Offset(i)})
	}
	return entries, page.End, err
}

// startRun starts a new run of the first instance, which knows no other one until discovered returns true.
func (f *fleet) startRun(c *qt.C, unavailable bool, discovered func() bool) (*logcache.Log, *instance) {
	self := f.instances[f.members[0].Address]
	l := logcache.New(logcache.Config{
		Self: f.members[0].Instance, Zone: "z", Log: &directoryLog{self, unavailable}, Discovered: discovered, Caller: f, ReadRate: 1 << 20,
		Members: func() []leader.Member {
			if discovered() {
				return f.members
			}
			return f.members[:1]
		},
		Backlogs: map[partlog.Partition]ids.Offset{shared: 0}, Discovery: partlog.Partition{Topic: "reports"}, Now: time.Now, Logger: zap.NewNop(),
		Directory: logcache.Directory{Partition: directoryPartition, Encode: func(key string, value []byte) []byte { return fmt.Appendf(nil, "%s=%s", key, value) }},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
	return l, self
}

// Guards against new runs that read everything directly after a loss of all, because nobody knows another instance then.
func TestNewRunReadsThroughTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appendRecords(c, log, 10)
		record := `z={"instances":20,"readers":[{"instance":"i7","address":"i7"},{"instance":"i8","address":"i8"},{"instance":"i9","address":"i9"}]}`
		_, err := log.Append(c.Context(), directoryPartition, partlog.AnyOffset, []byte(record))
		c.Assert(err, qt.IsNil)
		l, self := f.startRun(c, false, func() bool { return false })
		page, err := l.Read(c.Context(), shared, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 10)
		c.Assert(self.reads.Load(), qt.Equals, int64(0))
		first, err := l.Append(c.Context(), shared, partlog.AnyOffset, []byte("10"))
		c.Assert(err, qt.IsNil)
		c.Assert(int(first), qt.Equals, 10)
	})
}

// Guards against a directory that stays empty, so that a later start of all finds no readers.
func TestFirstReaderOfAZonePublishesTheReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		for n := range f.members {
			f.members[n].Weight = 0.1
		}
		f.members[0].Weight = 1 // the order begins with the strongest
		f.startRun(c, false, func() bool { return true })
		time.Sleep(time.Second)
		page, err := log.Read(c.Context(), directoryPartition, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 1)
		c.Assert(string(page.Records[0]), qt.Matches, `z=\{"instances":20,"readers":\[\{"instance":"i0","address":"i0"\},.*`)
	})
}

// Guards against a run that does nothing while only the partition of the directory is unavailable.
func TestRunStartsWithoutTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appendRecords(c, log, 10)
		l, _ := f.startRun(c, true, func() bool { return false })
		began := time.Now()
		page, err := l.Read(c.Context(), shared, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Records, qt.HasLen, 10)
		c.Assert(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}

// Guards against appends of a zone that wait for each other one by one, or get each other's offsets.
func TestAppendsOfAZoneAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appends := new(slowAppends)
		for _, i := range f.instances {
			i.appends = appends
		}
		offsets := make(chan ids.Offset, len(f.instances))
		first := true
		for _, i := range f.instances {
			go func() {
				first, err := i.cache.Append(context.Background(), shared, partlog.AnyOffset, []byte(i.cache.Self))
				c.Check(err, qt.IsNil)
				page, err := log.Read(context.Background(), shared, first, 0)
				c.Check(err, qt.IsNil)
				c.Check(string(page.Records[0]), qt.Equals, string(i.cache.Self))
				offsets <- first
			}()
			if first {
				time.Sleep(10 * time.Millisecond) // the first append is in progress
				first = false
			}
		}
		time.Sleep(time.Second)
		c.Assert(offsets, qt.HasLen, len(f.instances))
		c.Assert(int(appends.count.Load()), qt.Equals, 2)
		time.Sleep(time.Minute)
	})
}

// Guards against an instance that appends through a silent reader again and again, although another one of its zone would answer.
func TestAppendsDoNotGoThroughASilentReaderAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(20, partlogtest.New())
		for _, i := range f.instances {
			i.appends = new(slowAppends)
		}
		appendOnce := func(l *logcache.Log) error {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := l.Append(ctx, shared, partlog.AnyOffset, []byte("r"))
			return err
		}
		c.Assert(appendOnce(f.instances["i0"].cache), qt.IsNil)
		var writer *instance
		for _, i := range f.instances {
			if i.appends.count.Load() > 0 {
				i.silent.Store(true)
			} else {
				writer = i
			}
		}
		c.Assert(appendOnce(writer.cache), qt.ErrorIs, partlog.ErrOutcomeUnknown)
		c.Assert(appendOnce(writer.cache), qt.IsNil)
	})
}

// Guards against a run that keeps to the readers that the directory named at its start, although they have been replaced.
func TestReplacedReadersInTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		for n := range f.members {
			f.members[n].Weight = 0.01
		}
		f.members[1].Weight = 1 // the first run is not the first reader
		f.instances["i19"].silent.Store(true)
		_, err := log.Append(c.Context(), directoryPartition, partlog.AnyOffset, []byte(`z={"instances":20,"readers":[{"instance":"gone","address":"i19"}]}`))
		c.Assert(err, qt.IsNil)
		var discovered atomic.Bool
		f.startRun(c, false, discovered.Load)
		waiting, self := f.startRun(c, false, func() bool { return false })
		time.Sleep(2 * time.Second)
		discovered.Store(true)
		time.Sleep(5 * time.Second)
		c.Assert(int(log.End(directoryPartition)), qt.Equals, 2, qt.Commentf("a run that knows the others replaces the record once"))
		before := self.reads.Load()
		_, err = waiting.Read(c.Context(), shared, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(self.reads.Load(), qt.Equals, before)
	})
}
