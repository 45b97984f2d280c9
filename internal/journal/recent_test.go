package journal

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/pace"
	"github.com/comfreylink/comfreylink/pkg/record"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// entriesLog holds the entries of a log. Some are malformed, some repeat the sequence number of an earlier one.
type entriesLog []logservice.Entry

func newEntriesLog(t *rapid.T) (l entriesLog) {
	seq := int64(0)
	for o := range rapid.IntRange(1, 40).Draw(t, "entries") {
		data := []byte("malformed")
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
		case 1:
			data = batchOf(seq, o)
		default:
			seq++
			data = batchOf(seq, o)
		}
		l = append(l, logservice.Entry{Offset: ids.Offset(o), Data: data})
	}
	return l
}

func batchOf(seq int64, v int) []byte {
	r, err := record.New(reserve(2 * v))
	if err != nil {
		panic(err)
	}
	data, err := record.Batch{Writer: "operator#1", Seq: seq, Records: []record.Record{r}}.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// page returns the page from one offset up to another, as read by the log's reader.
func (l entriesLog) page(from, to ids.Offset) logservice.Page {
	return logservice.Page{Next: max(from, to), AtEnd: int(to) == len(l), Entries: l[min(from, to):to]}
}

// newFollower returns a journal that is not run; the test passes pages to it.
func newFollower(t *rapid.T, keep int) *instance {
	f := &listFold{}
	j, cleanup, err := New(Config{
		Stream: testStream, Writer: "reader#1", Log: storeLog{}, Fold: f, Now: time.Now, Pace: pace.New(time.Now(), 1),
		RecentBytes: keep,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &instance{Journal: j, fold: f, stop: cleanup}
}

// Guards against a reader whose state differs from the log's because it got entries from a peer: by a gap, an entry that
// is folded twice, a wrong order, or a wrong offset at which the reader continues.
func TestFeedReachesTheStateOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newEntriesLog(t)
		keep := rapid.SampledFrom([]int{1, 500, 1 << 20}).Draw(t, "kept")
		readers := []*instance{newFollower(t, keep), newFollower(t, keep)}
		for range 60 {
			i := rapid.IntRange(0, 1).Draw(t, "reader")
			r, other := readers[i], readers[1-i]
			from := r.Status().Next
			if rapid.Bool().Draw(t, "fed") {
				if p, ok := other.Recent(from); ok {
					// The reader may read further entries from the log between the peer's answer and Feed.
					r.apply(log.page(from, rapid.SampledFrom([]ids.Offset{from, from + 1}).Draw(t, "meanwhile")), time.Now())
					if err := r.Feed(from, p); err != nil {
						t.Fatal(err)
					}
					if r.Status().Next < p.Next {
						t.Fatalf("fed up to %d, next is %d", p.Next, r.Status().Next)
					}
				}
			} else {
				to := ids.Offset(rapid.IntRange(int(from), len(log)).Draw(t, "to"))
				// A read that began before Feed returns the fed entries again.
				again := ids.Offset(rapid.IntRange(0, int(from)).Draw(t, "again"))
				r.apply(log.page(again, to), time.Now())
			}
			want := newFollower(t, 0)
			want.apply(log.page(0, r.Status().Next), time.Now())
			if got, want := r.values(), want.values(); !slices.Equal(got, want) {
				t.Fatalf("%v differs from %v of the log", got, want)
			}
		}
	})
}

// Guards against entries of a peer that affect Fresh and CaughtUp, and against invalid pages that are accepted.
func TestFeed(t *testing.T) {
	c := qt.New(t)
	r := newInstance(t, storeLog{}, "reader#1")
	page := logservice.Page{Next: 2, Entries: []logservice.Entry{{Offset: 0, Data: batchOf(1, 1)}, {Offset: 1, Data: batchOf(2, 2)}}}
	c.Assert(r.Feed(1, page), qt.ErrorMatches, ".*offset 0 is not in the expected range from 1 to 1")
	c.Assert(r.Feed(0, logservice.Page{Next: 1, Entries: page.Entries}), qt.ErrorMatches, ".*offset 1 is not in the expected range from 1 to 0")
	c.Assert(r.Feed(3, logservice.Page{Next: 4}), qt.IsNotNil)
	c.Assert(r.Status().Next, qt.Equals, ids.Offset(0))
	changed := r.Changed()
	c.Assert(r.Feed(0, page), qt.IsNil)
	c.Assert(r.values(), qt.DeepEquals, []ids.Tokens{2, 4})
	c.Assert(r.Fresh().IsZero(), qt.IsTrue)
	select {
	case <-changed:
	default:
		c.Error("the channel of Changed is not closed after Feed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	c.Assert(r.CaughtUp(ctx), qt.IsNotNil)
	_, ok := r.Recent(0)
	c.Assert(ok, qt.IsFalse) // nothing is kept by default
}

// Guards against a result of Recent with a gap, after old entries were dropped or a snapshot was restored.
func TestRecentHasNoGap(t *testing.T) {
	c := qt.New(t)
	r := recent{maxBytes: 2 * (100 + entryOverhead)}
	for o := range 5 {
		r.add(logservice.Entry{Offset: ids.Offset(o), Data: make([]byte, 100)}, replay.Applied)
	}
	c.Assert(r.first, qt.Equals, ids.Offset(3))
	c.Assert(r.entries, qt.HasLen, 2)
	r.add(logservice.Entry{Offset: 4, Data: make([]byte, 100)}, replay.NotDue)
	c.Assert(r.entries, qt.HasLen, 2)
	r.add(logservice.Entry{Offset: 9}, replay.Restored)
	c.Assert(r.first, qt.Equals, ids.Offset(10))
	c.Assert(r.entries, qt.HasLen, 0)
}
