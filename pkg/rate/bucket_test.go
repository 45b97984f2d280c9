package rate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/rate"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func limit(perSecond float64, burst int64) rate.Limit {
	return rate.Limit{Rate: rate.PerSecond(perSecond), Burst: burst}
}

// Guards against a token that refills while its grant may still be used.
func TestPendingGrantHoldsItsToken(t *testing.T) {
	c := qt.New(t)
	b := rate.New(epoch, limit(10, 1), false, time.Second)
	first := b.Acquire(epoch, 1, at(time.Minute))
	c.Assert(first.Kind, qt.Equals, rate.Granted)
	second := b.Acquire(at(500*time.Millisecond), 1, at(time.Minute))
	c.Assert(second.Kind, qt.Equals, rate.Wait)
	b.Used(at(510*time.Millisecond), first.Grant)
	_, ok := b.Ready(at(609 * time.Millisecond))
	c.Assert(ok, qt.IsFalse)
	c.Assert(b.Take(at(610*time.Millisecond), second.Ticket).Kind, qt.Equals, rate.Granted)
}

// Guards against a workspace losing a token when a grant is returned unused, or gaining one when that is reported twice.
func TestUnusedGrantIsReturned(t *testing.T) {
	c := qt.New(t)
	b := rate.New(epoch, limit(0.001, 1), false, time.Second)
	d := b.Acquire(epoch, 1, at(time.Minute))
	b.Unused(at(time.Millisecond), d.Grant)
	b.Unused(at(time.Millisecond), d.Grant)
	c.Assert(b.Acquire(at(time.Millisecond), 1, at(time.Minute)).Kind, qt.Equals, rate.Granted)
	c.Assert(b.Acquire(at(time.Millisecond), 1, at(time.Minute)).Kind, qt.Equals, rate.Refused)
}

// Guards against a waiting request that is granted before an earlier one, and against a caller that never asks again and
// blocks the others.
func TestReservationsAreInOrderAndExpire(t *testing.T) {
	c := qt.New(t)
	b := rate.New(epoch, limit(10, 1), false, 0)
	deadline := at(time.Minute)
	b.Acquire(epoch, 1, deadline)
	first := b.Acquire(epoch, 1, deadline)
	second := b.Acquire(epoch, 1, deadline)
	third := b.Acquire(epoch, 1, deadline)
	c.Assert(first.At, qt.Equals, at(100*time.Millisecond))
	c.Assert(second.At, qt.Equals, at(200*time.Millisecond))
	c.Assert(b.Take(at(150*time.Millisecond), second.Ticket).Kind, qt.Equals, rate.Wait)
	c.Assert(b.Take(at(201*time.Millisecond), second.Ticket).Kind, qt.Equals, rate.Granted)
	c.Assert(b.Take(at(202*time.Millisecond), first.Ticket).Kind, qt.Equals, rate.Expired)
	b.Cancel(at(203*time.Millisecond), third.Ticket)
	c.Assert(b.Waiting(), qt.Equals, 0)
}

// Guards against refusing a request whose wait ends by its deadline, and against letting one wait that cannot be granted
// by then.
func TestRefusedOnlyBeyondDeadline(t *testing.T) {
	c := qt.New(t)
	b := rate.New(epoch, limit(2, 1), false, 0)
	b.Acquire(epoch, 1, epoch)
	c.Assert(b.Acquire(epoch, 1, at(499*time.Millisecond)), qt.Equals,
		rate.Decision{Kind: rate.Refused, At: at(500 * time.Millisecond)})
	c.Assert(b.Acquire(epoch, 1, at(500*time.Millisecond)).Kind, qt.Equals, rate.Wait)
	c.Assert(b.Acquire(epoch, 2, at(time.Hour)).Kind, qt.Equals, rate.Impossible)
}

// Guards against a changed limit that adds the new burst to tokens that were already granted.
func TestReconfigureCreatesNoTokens(t *testing.T) {
	c := qt.New(t)
	b := rate.New(epoch, limit(1, 2), false, 0)
	b.Acquire(epoch, 2, epoch)
	b.Reconfigure(epoch, limit(1, 100))
	c.Assert(b.Acquire(epoch, 1, epoch).Kind, qt.Equals, rate.Refused)
	b.Reconfigure(at(100*time.Second), limit(1, 3))
	c.Assert(b.Acquire(at(100*time.Second), 3, at(100*time.Second)).Kind, qt.Equals, rate.Granted)
	c.Assert(b.Acquire(at(100*time.Second), 1, at(100*time.Second)).Kind, qt.Equals, rate.Refused)
}

// Guards against granting tokens again that were already spent, after a bucket was dropped or a new epoch began.
func TestOnlyFullBucketsAreDropped(t *testing.T) {
	c := qt.New(t)
	const ws = ids.WorkspaceID("akwaaba")
	l := limit(1, 2)
	k := rate.NewBuckets(4, time.Second)
	_, err := k.Bucket(epoch, ws, l)
	c.Assert(err, qt.ErrorIs, rate.ErrNotOwner)
	slot := ids.SlotOfWorkspace(ws, 4)
	k.Open(epoch, slot, 1)
	b, err := k.Bucket(epoch, ws, l)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Acquire(at(999*time.Millisecond), 1, at(1999*time.Millisecond)).Kind, qt.Equals, rate.Refused)
	d := b.Acquire(at(3*time.Second), 2, at(3*time.Second))
	c.Assert(d.Kind, qt.Equals, rate.Granted)
	c.Assert(k.DropIdle(at(4*time.Second)), qt.Equals, 0)
	c.Assert(k.DropIdle(at(6*time.Second)), qt.Equals, 1)
	b, _ = k.Bucket(at(6*time.Second), ws, l)
	again := b.Acquire(at(6*time.Second), 2, at(6*time.Second))
	c.Assert(again.Kind, qt.Equals, rate.Granted)
	b.Unused(at(6*time.Second), d.Grant) // late report about the dropped bucket
	c.Assert(b.Acquire(at(6*time.Second), 1, at(6*time.Second)).Kind, qt.Equals, rate.Refused)
	k.Open(at(7*time.Second), slot, 2)
	b, _ = k.Bucket(at(7*time.Second), ws, l)
	c.Assert(b.Acquire(at(8999*time.Millisecond), 1, at(8999*time.Millisecond)).Kind, qt.Equals, rate.Refused)
}
