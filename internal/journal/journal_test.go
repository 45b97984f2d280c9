package journal

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/pace"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/standin/logstore"
)

// TestMain runs fewer generated cases than rapid's default, because each case starts a service and waits for repeated
// appends.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("40")
	}
	os.Exit(m.Run())
}

const testStream ids.Stream = "fleet"

// listFold is a fold that keeps the values of all reserve records and rejects odd ones.
type listFold struct{ values []ids.Tokens }

var errOdd = errors.New("odd")

func (l *listFold) Apply(_ ids.Position, _ ids.WriterID, b record.Body) error {
	v := b.(*record.Reserve).UpTo
	if v%2 != 0 {
		return errOdd
	}
	l.values = append(l.values, v)
	return nil
}
func (l *listFold) Snapshot() ([]byte, error) { return json.Marshal(l.values) }
func (l *listFold) Restore(data []byte) error { return json.Unmarshal(data, &l.values) }

func reserve(v int) record.Body {
	return &record.Reserve{Epoch: 1, Workspace: "w", Program: "p", UpTo: ids.Tokens(v)}
}

type instance struct {
	*Journal
	fold *listFold
	stop func()
}

func (i *instance) values() (v []ids.Tokens) {
	i.View(func() { v = slices.Clone(i.fold.values) })
	return v
}

func newInstance(t testing.TB, l Log, w ids.WriterID) *instance {
	f := &listFold{}
	j, cleanup, err := New(Config{
		Stream: testStream, Writer: w, Log: l, Fold: f, Now: time.Now, Pace: pace.New(time.Now(), 1e6),
	})
	qt.Assert(t, err, qt.IsNil)
	j.delays = delays{firstRetry: 2 * time.Millisecond, firstRepeat: 20 * time.Millisecond, last: 50 * time.Millisecond}
	return &instance{Journal: j, fold: f, stop: cleanup}
}

// start returns a journal that runs until its stop is called.
func start(t testing.TB, l Log, w ids.WriterID) *instance {
	i := newInstance(t, l, w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	i.stop = func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	}
	return i
}

// watchedLog counts the appends that have ended and the reads in progress, and can hold back the answers to reads.
type watchedLog struct {
	Log
	mu      sync.Mutex
	changed *sync.Cond
	held    bool
	appends int // number of appends that have ended
	reading int // number of reads in progress
}

func watch(l Log) *watchedLog {
	w := &watchedLog{Log: l}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *watchedLog) Append(ctx context.Context, s ids.Stream, data []byte) (ids.Offset, error) {
	o, err := w.Log.Append(ctx, s, data)
	w.update(func() { w.appends++ })
	return o, err
}

func (w *watchedLog) Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (logservice.Page, error) {
	w.update(func() { w.reading++ })
	defer w.update(func() { w.reading-- })
	p, err := w.Log.Read(ctx, s, from, maxBytes, wait)
	w.await(func() bool { return !w.held || ctx.Err() != nil })
	return p, err
}

func (w *watchedLog) update(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	w.changed.Broadcast()
}

func (w *watchedLog) await(f func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !f() {
		w.changed.Wait()
	}
}

func startLog(t testing.TB) (*logstore.Server, *logservice.Client, func()) {
	server, address, stop, err := logstore.Start(logstore.Options{})
	qt.Assert(t, err, qt.IsNil)
	client, cleanup, err := logservice.New(address)
	qt.Assert(t, err, qt.IsNil)
	return server, client, func() {
		cleanup()
		stop()
	}
}

// testContext returns a context whose timeout is far above what a test takes.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// rapidTB is a testing.TB that reports failures to rapid, as failures of the generated case.
type rapidTB struct {
	testing.TB
	rt *rapid.T
}

func (g rapidTB) Fatal(args ...any) { g.rt.Fatal(args...) }
func (g rapidTB) Error(args ...any) { g.rt.Error(args...) }

// steps holds the events of a schedule. Each element is equally likely, so that submit is the most frequent event.
var steps = []string{"submit", "submit", "submit", "answers lost", "outage", "reader behind", "late copy", "snapshot"}

// Guards against records that are lost, folded twice, or reported with a result that other readers do not share. The
// schedules have lost answers, slow readers, failed requests, late copies of entries, and entries that are truncated after
// a snapshot.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(rapidTB{t, rt})
		server, client, stopLog := startLog(c)
		defer stopLog()
		ctx := testContext(t)
		log := watch(client)
		a, b := start(c, log, "a#1"), start(c, log, "b#1")
		defer func() { a.stop(); b.stop() }()
		clearFaults := func() {
			server.SetFaults(logstore.Faults{})
			log.update(func() { log.held = false })
		}
		defer clearFaults()
		barrier := func(i *instance) {
			recordErrors, err := i.Append(ctx, reserve(1))
			c.Assert(err, qt.IsNil)
			c.Assert(fmt.Sprint(recordErrors), qt.Equals, "[odd]")
		}
		var want []ids.Tokens
		// submit submits two records, of which the fold rejects the second, and waits until so many more appends have ended.
		submit := func(i *instance, appends int) {
			v := 2 * len(want)
			want = append(want, ids.Tokens(v))
			before := 0
			log.update(func() { before = log.appends })
			c.Assert(i.Submit(reserve(v), reserve(v+1)), qt.IsNil)
			log.await(func() bool { return log.appends >= before+appends })
		}
		barrier(a)
		barrier(b)
		for range rapid.IntRange(5, 15).Draw(rt, "steps") {
			n := rapid.IntRange(0, 20).Draw(rt, "number")
			switch rapid.SampledFrom(steps).Draw(rt, "event") {
			case "submit":
				submit([]*instance{a, b}[n%2], 1)
			case "answers lost":
				clearFaults()
				barrier(a) // no batch of a is in flight
				log.update(func() { log.held = true })
				server.SetFaults(logstore.Faults{LoseAnswers: 1 + n%2})
				submit(a, 2) // the second append repeats the batch
			case "outage":
				server.SetFaults(logstore.Faults{AppendOutage: n%3 == 0, Outage: n%3 == 1})
			case "reader behind":
				log.update(func() { log.held = !log.held })
			case "late copy":
				p, _ := server.Store().Read(time.Now(), string(testStream), 0, readBytes)
				server.Store().Append(time.Now(), string(testStream), p.Entries[n%len(p.Entries)].Data)
			case "snapshot": // the entries that it covers are truncated, and an instance is restarted
				clearFaults()
				barrier(a)
				covered := a.Status().Next
				c.Assert(a.WriteSnapshot(ctx), qt.IsNil)
				barrier(b)
				b.stop()
				server.Store().Trim(string(testStream), int64(covered))
				b = start(c, log, "b#1")
				barrier(b)
			}
		}
		clearFaults()
		barrier(a)
		barrier(b)
		barrier(a) // now a has read what b appended, and b what a appended
		got := a.values()
		c.Assert(b.values(), qt.DeepEquals, got)
		slices.Sort(got)
		c.Assert(got, qt.DeepEquals, want)
	})
}

func isDone(it *item) bool {
	select {
	case <-it.done:
		return true
	default:
		return false
	}
}

// Guards against records that get the result of another batch: a late append of an earlier journal of the same writer uses
// the sequence number of the batch in flight.
func TestSeqUsedByEarlierJournal(t *testing.T) {
	c := qt.New(t)
	j := newInstance(t, storeLog{}, "a")
	it, err := newItem(false, []record.Body{reserve(1)})
	c.Assert(err, qt.IsNil)
	first := j.startBatch([]*item{it})
	other := []byte(`{"writer":"a","seq":1,"records":[]}`)
	j.apply(logservice.Page{Next: 2, Entries: []logservice.Entry{{Offset: 0, Data: other}, {Offset: 1, Data: first.data}}}, time.Now())
	c.Assert(first.needsNewSeq(), qt.IsTrue)
	second := j.startBatch(first.items)
	c.Assert(second.seq, qt.Equals, int64(2))
	j.apply(logservice.Page{Next: 3, Entries: []logservice.Entry{{Offset: 2, Data: second.data}}}, time.Now())
	c.Assert(isDone(it), qt.IsTrue)
	c.Assert(it.recordErrors, qt.HasLen, 1)
	c.Assert(it.recordErrors[0], qt.Equals, errOdd)
	c.Assert(j.Status().Duplicate, qt.Equals, int64(1))
}

// Guards against a caller that waits forever, or gets a wrong result, because the reader skips its batch by restoring a
// snapshot that covers it.
func TestBatchInFlightCoveredBySnapshot(t *testing.T) {
	c := qt.New(t)
	j, other := newInstance(t, storeLog{}, "a"), newInstance(t, storeLog{}, "b")
	it, err := newItem(false, []record.Body{reserve(2)})
	c.Assert(err, qt.IsNil)
	b := j.startBatch([]*item{it})
	other.apply(logservice.Page{Next: 1, Entries: []logservice.Entry{{Data: b.data}}}, time.Now())
	parts, err := other.replay.Snapshot()
	c.Assert(err, qt.IsNil)
	snapshot, err := newItem(true, parts)
	c.Assert(err, qt.IsNil)
	entry := logservice.Entry{Offset: 1, Data: other.startBatch([]*item{snapshot}).data}
	page := logservice.Page{Oldest: 1, Next: 2, Entries: []logservice.Entry{entry}, AtEnd: true}
	j.apply(page, time.Now())
	c.Assert(isDone(it), qt.IsTrue)
	var e *Error
	c.Assert(errors.As(it.err, &e), qt.IsTrue)
	c.Assert(e.Code, qt.Equals, CodeOutcomeUnknown)
	c.Assert(j.values(), qt.DeepEquals, []ids.Tokens{2})
	c.Assert(j.Fresh().IsZero(), qt.IsTrue, qt.Commentf("the entries after the snapshot are not read again yet"))
	now := time.Now()
	j.apply(page, now)
	c.Assert(j.Fresh(), qt.Equals, now)
}

// Guards against a queue that grows without limit during an outage, and against an error that does not say whether the
// records may still be appended.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	j := newInstance(t, storeLog{}, "a")
	code := func(err error) Code {
		var e *Error
		c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(e.Sent(), qt.IsFalse)
		return e.Code
	}
	c.Assert(code(j.Submit(&record.Outcome{Body: make([]byte, record.MaxEntryBytes)})), qt.Equals, CodeTooLarge)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range maxQueuedItems + 1 {
		_, err := j.Append(ended, reserve(1)) // withdrawn, so the queue does not fill up
		c.Assert(code(err), qt.Equals, CodeCanceled)
	}
	for range maxQueuedItems {
		c.Assert(j.Submit(reserve(1)), qt.IsNil)
	}
	_, err := j.Append(testContext(t), reserve(1))
	c.Assert(code(err), qt.Equals, CodeFull)
	c.Assert(j.queue.take(1<<20), qt.HasLen, maxQueuedItems)
	large := &record.Outcome{Body: make([]byte, 600<<10)}
	for range maxQueuedBytes / (801 << 10) {
		c.Assert(j.Submit(large), qt.IsNil)
	}
	c.Assert(code(j.Submit(large)), qt.Equals, CodeFull)
	c.Assert(j.queue.take(j.maxRecordBytes()), qt.HasLen, 1, qt.Commentf("two do not fit in an entry"))
	j.stop()
	c.Assert(code(j.Submit(reserve(1))), qt.Equals, CodeStopped)
}

// storeLog is the stand-in log service without HTTP.
type storeLog struct{ store *logstore.Store }

func (l storeLog) Append(_ context.Context, s ids.Stream, data []byte) (ids.Offset, error) {
	o, _ := l.store.Append(time.Now(), string(s), data)
	return ids.Offset(o), nil
}

func (l storeLog) Read(ctx context.Context, s ids.Stream, from ids.Offset, maxBytes int, wait time.Duration) (logservice.Page, error) {
	p := l.store.Poll(ctx, string(s), int64(from), maxBytes, wait)
	if ctx.Err() != nil {
		time.Sleep(20 * time.Millisecond) // a task that Run does not wait for is then still running when Run returns
	}
	page := logservice.Page{Oldest: ids.Offset(p.Oldest), Next: ids.Offset(p.Next), AtEnd: true}
	for _, e := range p.Entries {
		page.Entries = append(page.Entries, logservice.Entry{Offset: ids.Offset(e.Offset), Data: e.Data})
	}
	return page, ctx.Err()
}

// Guards against tasks that are still running after Run has returned, and against callers that wait for a stopped journal.
func TestRunEndsItsTasks(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	log := watch(storeLog{store: logstore.NewStore(logstore.Options{})})
	j := start(t, log, "a")
	c.Assert(j.CaughtUp(testContext(t)), qt.IsNil)
	changed := j.Changed()
	recordErrors, err := j.Append(testContext(t), reserve(2), reserve(3))
	c.Assert(err, qt.IsNil)
	c.Assert(fmt.Sprint(recordErrors), qt.Equals, "[<nil> odd]")
	<-changed
	j.stop()
	log.update(func() { c.Check(log.reading, qt.Equals, 0) })
	_, err = j.Append(testContext(t), reserve(2))
	c.Assert(err, qt.ErrorMatches, ".*stopped")
}
