package rate

import (
	"sort"
	"time"
)

// Defaults of design section 4.7.
const (
	// DefaultGrantMax is the default age up to which a grant may be used, counted from sending the request for it.
	DefaultGrantMax = time.Second
	// Hold is the longest wait for which an owner keeps a request open. For a longer wait it answers at once with the
	// time to wait.
	Hold = 200 * time.Millisecond
)

const (
	// reservationGrace is how long a reservation is kept after the retry time that its caller was given. It
	// must cover the network latency of that request; a longer one wastes more tokens for each caller that died.
	reservationGrace = 100 * time.Millisecond
	// pendingPoll is how long a request waits for the report of a used grant before it asks again: a few round trips
	// between zones.
	pendingPoll = 10 * time.Millisecond
	// maxWaiting bounds a bucket's queue. It is enough for 1,500 requests a second with deadlines of 40 s.
	maxWaiting = 1 << 16
)

type (
	// Ticket identifies a waiting request of one bucket.
	Ticket uint64
	// GrantID identifies a grant of one bucket.
	GrantID uint64
)

// Kind is the kind of a Decision.
type Kind int

// Kinds of decisions.
const (
	// Granted: the request may be sent now.
	Granted Kind = iota + 1
	// Wait: the request is queued; call Take at the time At of the decision.
	Wait
	// Refused: the wait exceeds the deadline.
	Refused
	// Expired: the ticket is unknown or was not taken in time; acquire again.
	Expired
	// Impossible: the request is for less than one token, or for more than the burst.
	Impossible
)

// Decision is the result of a request for tokens.
type Decision struct {
	Kind Kind
	// Grant is set when granted; report its use with Used or Unused.
	Grant GrantID
	// Ticket is set when waiting.
	Ticket Ticket
	// At is when a waiting request can be granted, or when a refused one could succeed.
	At time.Time
}

// reservation is a request in a bucket's queue.
type reservation struct {
	ticket   Ticket
	units    int64
	at       time.Time // the retry time that the caller was given
	deadline time.Time
}

// pending is a grant that may still be used. done means that its report has arrived.
type pending struct {
	id          GrantID
	units       int64
	usableUntil time.Time
	done        bool
}

// Bucket is the token bucket of one workspace.
type Bucket struct {
	limit    Limit
	grantMax time.Duration
	// level is the number of units that can be granted. It is negative after the burst was reduced below the pending
	// grants.
	level int64
	// refilledUntil is the time up to which level has been refilled. It is in the future while a new bucket must not
	// grant.
	refilledUntil time.Time

	pending      []pending
	pendingUnits int64
	lastGrant    GrantID

	queue      []reservation
	queueUnits int64
	lastTicket Ticket
}

// New returns a bucket for a valid limit. startEmpty means that an earlier owner may have given grants until now, which
// may be used until now+grantMax; the bucket stays empty until then.
func New(now time.Time, l Limit, startEmpty bool, grantMax time.Duration) *Bucket {
	b := &Bucket{limit: l, grantMax: grantMax, refilledUntil: now}
	b.seedIDs(now)
	if startEmpty {
		b.refilledUntil = now.Add(grantMax)
		return b
	}
	b.level = l.Burst * unitsPerToken
	return b
}

// seedIDs starts the ids at the current time, so that a late report about an earlier bucket of the workspace does not
// match a grant of this one.
func (b *Bucket) seedIDs(now time.Time) {
	b.lastGrant = GrantID(now.UnixNano())
	b.lastTicket = Ticket(now.UnixNano())
}

// Acquire requests n tokens for a request that must be sent by the deadline.
func (b *Bucket) Acquire(now time.Time, n int64, deadline time.Time) Decision {
	b.advance(now)
	if n < 1 || n > b.limit.Burst {
		return Decision{Kind: Impossible}
	}
	w := reservation{ticket: b.lastTicket + 1, units: n * unitsPerToken, deadline: deadline}
	if b.ready(now, w.units, b.queueUnits) {
		return b.grant(now, w.units)
	}
	at := b.earliest(now, b.queueUnits+w.units)
	if at.After(deadline) || len(b.queue) >= maxWaiting {
		return Decision{Kind: Refused, At: at}
	}
	w.at = b.retryAt(now, b.queueUnits+w.units)
	b.lastTicket++
	b.queue = append(b.queue, w)
	b.queueUnits += w.units
	return Decision{Kind: Wait, Ticket: w.ticket, At: w.at}
}

// Take asks again for a waiting request. If its tokens are not available yet, it keeps its position in the queue.
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
	if at := b.earliest(now, ahead+w.units); at.After(w.deadline) {
		b.remove(i)
		return Decision{Kind: Refused, At: at}
	}
	w.at = b.retryAt(now, ahead+w.units)
	return Decision{Kind: Wait, Ticket: t, At: w.at}
}

// Ready returns the first waiting ticket if it can be taken now. The owner calls it after Used, Unused, Cancel and
// Reconfigure, which may make tokens available earlier than expected.
func (b *Bucket) Ready(now time.Time) (t Ticket, ok bool) {
	b.advance(now)
	if len(b.queue) == 0 || !b.ready(now, b.queue[0].units, 0) {
		return 0, false
	}
	return b.queue[0].ticket, true
}

// Cancel removes a waiting request.
func (b *Bucket) Cancel(now time.Time, t Ticket) {
	b.advance(now)
	if i, ok := b.find(t); ok {
		b.remove(i)
	}
}

// Used reports that a grant was used at or before now, so that its tokens start to refill.
func (b *Bucket) Used(now time.Time, id GrantID) {
	b.advance(now)
	b.finish(id)
}

// Unused reports that a grant was not and will not be used, and returns its tokens to the bucket.
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

// Limit returns the limit in force.
func (b *Bucket) Limit() Limit { return b.limit }

// Waiting returns the number of waiting requests.
func (b *Bucket) Waiting() int { return len(b.queue) }

// Idle reports whether the bucket is full and has no waiting requests or pending grants. Such a bucket can be dropped
// and later replaced by a new full one.
func (b *Bucket) Idle(now time.Time) bool {
	b.advance(now)
	return len(b.queue) == 0 && b.pendingUnits == 0 && !now.Before(b.refilledUntil) && b.level == b.capacity()
}

func (b *Bucket) capacity() int64 { return b.limit.Burst*unitsPerToken - b.pendingUnits }

// advance refills the bucket up to now and expires reservations. It refills in steps that end when a pending grant
// becomes too old to be used, because its tokens refill only from then on.
func (b *Bucket) advance(now time.Time) {
	for len(b.pending) > 0 && (b.pending[0].done || !b.pending[0].usableUntil.After(now)) {
		p := b.pending[0]
		if !p.done {
			b.refill(p.usableUntil)
			b.pendingUnits -= p.units
		}
		b.pending = b.pending[1:]
	}
	b.refill(now)
	b.expire(now)
}

func (b *Bucket) refill(until time.Time) {
	d := until.Sub(b.refilledUntil)
	if d <= 0 {
		return
	}
	b.refilledUntil = until
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

// expire removes reservations whose callers did not ask again in time, so that those behind them move up.
func (b *Bucket) expire(now time.Time) {
	for len(b.queue) > 0 && now.Sub(b.queue[0].at) > reservationGrace {
		b.remove(0)
	}
}

func (b *Bucket) ready(now time.Time, units, ahead int64) bool {
	return !now.Before(b.refilledUntil) && b.level-ahead >= units
}

func (b *Bucket) grant(now time.Time, units int64) Decision {
	b.lastGrant++
	b.level -= units
	b.pendingUnits += units
	b.pending = append(b.pending, pending{id: b.lastGrant, units: units, usableUntil: now.Add(b.grantMax)})
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

// earliest returns when the level reaches units if all pending grants are reported now. Acquire and Take compare the
// deadline with this time, because reports may still shorten a longer wait.
func (b *Bucket) earliest(now time.Time, units int64) time.Time {
	from := now
	if b.refilledUntil.After(now) {
		from = b.refilledUntil
	}
	return from.Add(b.limit.refillTime(units - b.level))
}

// retryAt returns when to ask again for a request that needs a level of units. If pending grants keep the bucket from
// reaching that level, their reports may come at any moment, so it is at least pendingPoll from now.
func (b *Bucket) retryAt(now time.Time, units int64) time.Time {
	at := b.earliest(now, units)
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
