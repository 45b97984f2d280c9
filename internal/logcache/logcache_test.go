package logcache_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/logcache"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

var shared = partlog.Partition{Topic: "shared"}

var ageField = regexp.MustCompile(`"ageMs":-?[0-9]+`)

// fleet is a zone of instances in one process.
type fleet struct {
	instances map[string]*instance
	members   []leader.Member
}

// instance is one instance. While it is silent it does not answer calls. While its log is down its reads hang, and while that refuses
// they fail at once.
type instance struct {
	*fleet
	*partlogtest.Log
	cache                       *logcache.Log
	silent, logDown, logRefuses atomic.Bool
	lies                        atomic.Bool // about the age of its pages
	reads, newest               atomic.Int64
	appends                     *slowAppends // nil if appends take no time
}

// slowAppends makes each append take 100 ms and counts them.
type slowAppends struct{ count atomic.Int64 }

// Append implements partlog.Log.
func (i *instance) Append(ctx context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (ids.Offset, error) {
	if i.appends != nil {
		i.appends.count.Add(1)
		time.Sleep(100 * time.Millisecond)
	}
	return i.Log.Append(ctx, p, at, records...)
}

func newFleet(size int, log *partlogtest.Log) *fleet {
	f := &fleet{instances: make(map[string]*instance)}
	for n := range size {
		id := fmt.Sprint("i", n)
		f.members = append(f.members, leader.Member{Candidate: leader.Candidate{Instance: ids.InstanceID(id), Weight: 1}, Address: id, Zone: "z"})
	}
	for _, m := range f.members {
		i := &instance{fleet: f, Log: log}
		i.cache = logcache.New(logcache.Config{
			Self: m.Instance, Zone: "z", Log: i, Members: func() []leader.Member { return f.members }, Discovered: func() bool { return true },
			Caller: f, ReadRate: 1 << 20, Backlogs: map[partlog.Partition]ids.Offset{shared: 0}, Now: time.Now, Logger: zap.NewNop(),
		})
		f.instances[m.Address] = i
	}
	return f
}

// Read implements partlog.Log.
func (i *instance) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	i.reads.Add(1)
	if i.logDown.Load() {
		<-ctx.Done()
		return partlog.Page{}, partlog.ErrOutcomeUnknown
	}
	if i.logRefuses.Load() {
		return partlog.Page{}, partlog.ErrNotApplied
	}
	for began := time.Now(); i.End(p) <= from && time.Since(began) < wait; {
		time.Sleep(time.Millisecond)
	}
	return i.Log.Read(ctx, p, from, 0)
}

// Newest implements partlog.Log. It takes 10 ms and returns the number of reads so far.
func (i *instance) Newest(context.Context, partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	n := i.newest.Add(1)
	time.Sleep(10 * time.Millisecond)
	return []partlog.Entry{{Key: "key", Value: []byte(fmt.Sprint(n))}}, ids.Offset(n), nil
}

// Call implements logcache.Caller.
func (f *fleet) Call(ctx context.Context, address, method string, params, result any) error {
	to := f.instances[address]
	if to.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var answer any
	if answer, err = to.cache.Methods()[method](ctx, data); err == nil {
		if data, err = json.Marshal(answer); err == nil {
			if to.lies.Load() {
				data = ageField.ReplaceAll(data, []byte(`"ageMs":-86400000`))
			}
			err = json.Unmarshal(data, result)
		}
	}
	var answered *jsonrpc2.Error
	if err != nil && !errors.As(err, &answered) {
		err = &jsonrpc2.Error{Message: err.Error()}
	}
	return err
}

// readers returns the instances that have read the log.
func (f *fleet) readers() (l []*instance) {
	for _, i := range f.instances {
		if i.reads.Load() > 0 {
			l = append(l, i)
		}
	}
	return l
}

// follow reads all records from an offset on at each instance that reaches the log and returns the greatest age of what the last reads showed.
func (f *fleet) follow(c *qt.C, from ids.Offset, want int) (age time.Duration) {
	for id, i := range f.instances {
		if i.logDown.Load() {
			continue
		}
		next := from
		for got := 0; ; {
			page, err := i.cache.Read(context.Background(), shared, next, 0)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", id))
			for n, record := range page.Records {
				c.Assert(string(record), qt.Equals, fmt.Sprint(next+ids.Offset(n)))
			}
			next, got = page.Next(), got+len(page.Records)
			if next >= page.End {
				c.Assert(got, qt.Equals, want)
				age = max(age, page.Age)
				break
			}
		}
	}
	return age
}

func appendRecords(c *qt.C, log *partlogtest.Log, count int) {
	for range count {
		_, err := log.Append(context.Background(), shared, partlog.AnyOffset, []byte(fmt.Sprint(log.End(shared))))
		c.Assert(err, qt.IsNil)
	}
}

// Guards against instances that all read the log themselves, and against a reader that loses or repeats records for others or
// returns old state as new.
func TestOneInstanceReadsForAZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appendRecords(c, log, 100)
		f.follow(c, 0, 100)
		c.Assert(f.readers(), qt.HasLen, 1)
		reader := f.readers()[0]
		appendRecords(c, log, 50)
		time.Sleep(time.Second)
		age := f.follow(c, 40, 110)
		c.Assert(age <= time.Second, qt.IsTrue, qt.Commentf("%v", age))
		reader.logDown.Store(true)
		time.Sleep(200 * time.Millisecond)
		before := time.Now()
		time.Sleep(300 * time.Millisecond)
		c.Assert(f.follow(c, 150, 0) > time.Since(before), qt.IsTrue, qt.Commentf("a reader without the log knows nothing new"))
		time.Sleep(2 * time.Second) // the reader's read has failed
		c.Assert(f.follow(c, 150, 0) <= time.Second, qt.IsTrue)
		c.Assert(len(f.readers()) > 1, qt.IsTrue)
		time.Sleep(time.Minute)
	})
}

// Guards against an instance that waits for a reader which does not answer, although it could ask another one or the log.
func TestSilentReaders(t *testing.T) {
	for _, silent := range []int{1, 19} {
		t.Run(fmt.Sprint(silent, " of 20"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := partlogtest.New()
				f := newFleet(20, log)
				appendRecords(c, log, 10)
				f.follow(c, 0, 10)
				reader := f.readers()[0]
				var asker *instance
				for _, i := range f.instances {
					i.silent.Store(i == reader || silent > 1)
					if i != reader {
						asker = i
					}
				}
				for range 3 {
					began := time.Now()
					page, err := asker.cache.Read(context.Background(), shared, 0, 0)
					c.Assert(err, qt.IsNil)
					c.Assert(page.Records, qt.HasLen, 10)
					c.Assert(time.Since(began) <= time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an instance that reaches the log, but whose short reads all end while it asks readers that do not answer.
func TestShortReadsReachTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appendRecords(c, log, 10)
		for _, asker := range f.instances {
			for _, i := range f.instances {
				i.silent.Store(i != asker)
			}
			reads := partlog.Backoff{Timeout: 500 * time.Millisecond, Pause: 200 * time.Millisecond}
			began := time.Now()
			for err := errors.New("none yet"); err != nil; time.Sleep(reads.Record(err)) {
				c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("the log was not read: %v", err))
				ctx, cancel := context.WithTimeout(context.Background(), reads.Next())
				_, err = asker.cache.Read(ctx, shared, 0, 0)
				cancel()
			}
		}
		time.Sleep(time.Minute)
	})
}

// Guards against instances that all read the log at once when it is back, because those that read for them could not: their reads
// overload it again.
func TestLogIsNotOverloadedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(20, log)
		appendRecords(c, log, 10)
		f.follow(c, 0, 10)
		setDown := func(down bool) (reads int64) {
			for _, i := range f.instances {
				i.logRefuses.Store(down)
				reads += i.reads.Swap(0)
			}
			return reads
		}
		setDown(true)
		var fresh atomic.Int64    // instances that know the state of the log as of its return
		var returned atomic.Int64 // Unix nanoseconds
		for _, i := range f.instances {
			go func() {
				for {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					asked := time.Now()
					page, err := i.cache.Read(ctx, shared, 10, 0)
					cancel()
					if at := returned.Load(); err == nil && at > 0 && asked.Add(-page.Age).UnixNano() > at {
						fresh.Add(1)
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(5 * time.Second)
		// Three readers try ten times a second, and all instances twice a second on average.
		during := setDown(false)
		c.Assert(during <= 5*(3*10+20*2), qt.IsTrue, qt.Commentf("%d reads during the outage", during))
		returned.Store(time.Now().UnixNano())
		time.Sleep(1500 * time.Millisecond)
		c.Assert(fresh.Load(), qt.Equals, int64(len(f.instances)))
		reads := setDown(false)
		c.Assert(reads <= 25, qt.IsTrue, qt.Commentf("%d reads", reads))
		time.Sleep(time.Minute)
	})
}

// Guards against a state that counts as up to date for a day because a broken instance says that it is from the future.
func TestPageIsNoNewerThanItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(20, partlogtest.New())
		for _, i := range f.instances {
			i.lies.Store(true)
		}
		for _, i := range f.instances {
			began := time.Now()
			page, err := i.cache.Read(context.Background(), shared, 0, 100*time.Millisecond)
			c.Assert(err, qt.IsNil)
			c.Assert(-page.Age <= time.Since(began), qt.IsTrue, qt.Commentf("%v", page.Age))
		}
		time.Sleep(time.Minute)
	})
}

// Guards against an answer to a question about the newest records from a read that began before the question: a key may have
// been withdrawn in between.
func TestNewestIsReadAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(20, partlogtest.New())
		ask := func(i *instance, results chan<- string) {
			entries, _, err := i.cache.Newest(context.Background(), shared)
			c.Check(err, qt.IsNil)
			results <- string(entries[0].Value)
		}
		results := make(chan string, 2*len(f.instances))
		for _, i := range f.instances {
			go ask(i, results)
		}
		time.Sleep(5 * time.Millisecond) // the first read is in progress
		for _, i := range f.instances {
			go ask(i, results)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		count := make(map[string]int)
		for range cap(results) {
			count[<-results]++
		}
		c.Assert(count["2"] >= len(f.instances), qt.IsTrue, qt.Commentf("%v", count))
		c.Assert(count, qt.HasLen, 2)
	})
}

// Guards against readers in a fleet whose direct reads the log can bear, where the loss of a reader costs more than it saves.
func TestSmallFleetReadsDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := partlogtest.New()
		f := newFleet(1, log)
		appendRecords(c, log, 1)
		page, err := f.instances["i0"].cache.Read(context.Background(), shared, 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Age, qt.Equals, time.Duration(0))
		c.Assert(f.instances["i0"].reads.Load(), qt.Equals, int64(1))
	})
}
