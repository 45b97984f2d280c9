package logpace

import "time"

const (
	// refusalCalls is the least number of consecutive throttled answers after which the log is taken to refuse this
	// instance alone. If all instances together are above the log's limit, it throttles only some calls of each.
	refusalCalls = 8
	// refusalTime is the least time that these answers span. The log counts calls by the second, so under an overload that
	// affects all instances it accepts some calls in each second, but may throttle all within a part of one.
	refusalTime = 1100 * time.Millisecond
	// refusalReads is the number of throttled reads among these answers that stands for refusalTime. The log's limit counts
	// appends, so an overload of all does not throttle reads.
	refusalReads = 2
)

// Refusal detects whether the log throttles every call of this instance alone, and not some calls of all instances. It gets the
// answers to all calls of the instance, of all pacers: a log that throttles appends for all goes on to answer reads.
type Refusal struct {
	consecutive int
	reads       int       // those of consecutive that were reads
	since       time.Time // time of the first of these answers
	alone       bool
	count       int // how often the log was found to refuse this instance alone
}

// Answered records an answer. It reports whether Alone has changed.
func (r *Refusal) Answered(now time.Time, throttled, read bool) (changed bool) {
	was := r.alone
	if !throttled {
		*r = Refusal{count: r.count}
		return was
	}
	if r.consecutive == 0 {
		r.since = now
	}
	r.consecutive++
	if read {
		r.reads++
	}
	r.alone = r.consecutive >= refusalCalls && (now.Sub(r.since) >= refusalTime || r.reads >= refusalReads)
	if r.alone && !was {
		r.count++
	}
	return r.alone != was
}

// Alone reports whether the log refuses this instance alone.
func (r *Refusal) Alone() bool { return r.alone }
