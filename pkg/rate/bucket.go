package rate

import (
	"sort"
	"time"
)

// Defaults of design section 4.7.
const (
	// DefaultGrantMax is the age, counted from sending the request for it, up to which a grant may be used.
	DefaultGrantMax = time.Second
	// Hold is how long an owner keeps a request open instead of answering with a time to wait.
	Hold = 200 * time.Millisecond
)

const (
	// lapse is how long a reservation is kept after its time. It must cover the way back of a caller that was told to
	// wait; a longer one wastes more tokens for each caller that died.
	lapse = 100 * time.Millisecond
	// pendingPoll is the wait for a report of a used grant, a few round trips between zones.
	pendingPoll = 10 * time.Millisecond
	// maxWaiting bounds a bucket's FIFO: 1,500 requests a second with deadlines of 40 s.
	maxWaiting = 1 << 16
)

type (
	// Ticket identifies a waiting request of one bucket.
	Ticket uint64
	// GrantID identifies a grant of one bucket.
	GrantID uint64
)

// Kind says what a decision is.
type Kind int

// Kinds of decisions.
const (
	// Granted: the request may be sent now.
	Granted Kind = iota + 1
	// Wait: call Take at the time given.
	Wait
	// Refused: the wait exceeds the deadline.
	Refused
	// Expired: the ticket is unknown or was not taken in time; acquire again.
	Expired
	// Impossible: more tokens were asked for than the burst.
	Impossible
)

// Decision answers a request for tokens.
type Decision struct {
	Kind Kind
	// Grant is set when granted; report its use with Used or Unused.
	Grant GrantID
	// Ticket is set when waiting.
	Ticket Ticket
	// At is when a waiting request can be granted, or when a refused one could succeed.
	At time.Time
}

type waiting struct {
	ticket   Ticket
	units    int64
	at       time.Time
	deadline time.Time
}

// pending is a grant that may still be used.
type pending struct {
	id    GrantID
	units int64
	end   time.Time
	done  bool
}

// Bucket is the token bucket of one workspace.
type Bucket struct {
	limit    Limit
	grantMax time.Duration
	// level is what can be granted. It is negative after the burst was reduced below the pending grants.
	level int64
	// at is the time up to which level is refilled. It is in the future while a new bucket must not grant.
	at time.Time

	pending      []pending
	pendingUnits int64
	lastGrant    GrantID

	queue      []waiting
	queueUnits int64
	lastTicket Ticket
}

// New returns a bucket for a valid limit. With startEmpty, an earlier owner may have given grants until now, which are
// used until now+grantMax: the bucket is empty until then.
func New(now time.Time, l Limit, startEmpty bool, grantMax time.Duration) *Bucket {
	b := &Bucket{limit: l, grantMax: grantMax, at: now}
	b.firstIDs(now)
	if startEmpty {
		b.at = now.Add(grantMax)
		return b
	}
	b.level = l.Burst * unitsPerToken
	return b
}

// firstIDs starts the ids at the time, so that a late report about an earlier bucket of the workspace names no grant of
// this one.
func (b *Bucket) firstIDs(now time.Time) {
	b.lastGrant = GrantID(now.UnixNano())
	b.lastTicket = Ticket(now.UnixNano())
}

// Acquire asks for n tokens for a request that is of use until the deadline.
func (b *Bucket) Acquire(now time.Time, n int64, deadline time.Time) Decision {
	b.advance(now)
	if n < 1 || n > b.limit.Burst {
		return Decision{Kind: Impossible}
	}
	w := waiting{ticket: b.lastTicket + 1, units: n * unitsPerToken, deadline: deadline}
	if b.ready(now, w.units, b.queueUnits) {
		return b.grant(now, w.units)
	}
	at := b.refilled(now, b.queueUnits+w.units)
	if at.After(deadline) || len(b.queue) >= maxWaiting {
		return Decision{Kind: Refused, At: at}
	}
	w.at = b.expected(now, b.queueUnits+w.units)
	b.lastTicket++
	b.queue = append(b.queue, w)
	b.queueUnits += w.units
	return Decision{Kind: Wait, Ticket: w.ticket, At: w.at}
}

// Take asks again for a waiting request. A request that comes before its turn keeps its place.
func (b *Bucket) Take(now time.Time, t Ticket) Decision {
	b.advance(now)
	i, ok := b.find(t)
	if !ok {
		return Decision{Kind: Expired}
	}
	if b.queue[i].units > b.limit.Burst*unitsPerToken {
		b.remove(i)
		return Decision{Kind: Impossible}
	}
	ahead := int64(0)
	for _, w := range b.queue[:i] {
		ahead += w.units
	}
	w := &b.queue[i]
	if b.ready(now, w.units, ahead) {
		units := w.units
		b.remove(i)
		return b.grant(now, units)
	}
	if at := b.refilled(now, ahead+w.units); at.After(w.deadline) {
		b.remove(i)
		return Decision{Kind: Refused, At: at}
	}
	w.at = b.expected(now, ahead+w.units)
	return Decision{Kind: Wait, Ticket: t, At: w.at}
}

// Ready returns the first waiting ticket if it can be taken now. The owner asks after Used, Unused, Cancel and
// Reconfigure, which may bring a turn forward.
func (b *Bucket) Ready(now time.Time) (t Ticket, ok bool) {
	b.advance(now)
	if len(b.queue) == 0 || !b.ready(now, b.queue[0].units, 0) {
		return 0, false
	}
	return b.queue[0].ticket, true
}

// Cancel gives up a waiting request.
func (b *Bucket) Cancel(now time.Time, t Ticket) {
	b.advance(now)
	if i, ok := b.find(t); ok {
		b.remove(i)
	}
}

// Used reports that a grant was used at or before now, so that its token starts to refill.
func (b *Bucket) Used(now time.Time, id GrantID) {
	b.advance(now)
	b.finish(id)
}

// Unused reports that a grant was not and will not be used, and gives its token back.
func (b *Bucket) Unused(now time.Time, id GrantID) {
	b.advance(now)
	b.level += b.finish(id)
}

// Reconfigure replaces the limit. The level is kept up to the new burst, so that a change creates no tokens.
func (b *Bucket) Reconfigure(now time.Time, l Limit) {
	b.advance(now)
	b.limit = l
	b.level = min(b.level, b.capacity())
}

// Limit returns the setting in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Waiting returns the number of waiting requests.
func (b *Bucket) Waiting() int { return len(b.queue) }

// Idle reports whether the bucket is as full as it can be and holds no state, so that a full one can replace it.
func (b *Bucket) Idle(now time.Time) bool {
	b.advance(now)
	return len(b.queue) == 0 && b.pendingUnits == 0 && !now.Before(b.at) && b.level == b.capacity()
}

func (b *Bucket) capacity() int64 { return b.limit.Burst*unitsPerToken - b.pendingUnits }

// advance refills up to now, in steps that end where a pending grant becomes too old to be used.
func (b *Bucket) advance(now time.Time) {
	for len(b.pending) > 0 && (b.pending[0].done || !b.pending[0].end.After(now)) {
		p := b.pending[0]
		if !p.done {
			b.refill(p.end)
			b.pendingUnits -= p.units
		}
		b.pending = b.pending[1:]
	}
	b.refill(now)
	b.expire(now)
}

func (b *Bucket) refill(until time.Time) {
	d := until.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = until
	missing := b.capacity() - b.level
	if missing <= 0 {
		return
	}
	if d >= b.limit.refillTime(missing) {
		b.level += missing
		return
	}
	b.level += int64(d) * int64(b.limit.Rate)
}

// expire drops reservations that were not taken in time, so that those behind them move up.
func (b *Bucket) expire(now time.Time) {
	for len(b.queue) > 0 && now.Sub(b.queue[0].at) > lapse {
		b.remove(0)
	}
}

func (b *Bucket) ready(now time.Time, units, ahead int64) bool {
	return !now.Before(b.at) && b.level-ahead >= units
}

func (b *Bucket) grant(now time.Time, units int64) Decision {
	b.lastGrant++
	b.level -= units
	b.pendingUnits += units
	b.pending = append(b.pending, pending{id: b.lastGrant, units: units, end: now.Add(b.grantMax)})
	return Decision{Kind: Granted, Grant: b.lastGrant}
}

// finish ends a pending grant and returns its units.
func (b *Bucket) finish(id GrantID) int64 {
	i := sort.Search(len(b.pending), func(i int) bool { return b.pending[i].id >= id })
	if i == len(b.pending) || b.pending[i].id != id || b.pending[i].done {
		return 0
	}
	b.pending[i].done = true
	b.pendingUnits -= b.pending[i].units
	return b.pending[i].units
}

// refilled returns when the level reaches units if all pending grants are reported at once. No request is refused for
// a wait that a report would shorten.
func (b *Bucket) refilled(now time.Time, units int64) time.Time {
	from := now
	if b.at.After(now) {
		from = b.at
	}
	return from.Add(b.limit.refillTime(units - b.level))
}

// expected returns when to ask again for a request that needs the level to be units. Where only pending grants hold the
// level down, their reports are due any moment.
func (b *Bucket) expected(now time.Time, units int64) time.Time {
	at := b.refilled(now, units)
	if units > b.capacity() && len(b.pending) > 0 {
		return later(at, now.Add(pendingPoll))
	}
	return at
}

func (b *Bucket) find(t Ticket) (i int, ok bool) {
	i = sort.Search(len(b.queue), func(i int) bool { return b.queue[i].ticket >= t })
	return i, i < len(b.queue) && b.queue[i].ticket == t
}

func (b *Bucket) remove(i int) {
	b.queueUnits -= b.queue[i].units
	if i == 0 {
		b.queue = b.queue[1:]
		return
	}
	b.queue = append(b.queue[:i], b.queue[i+1:]...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
