// Package admission decides, before a request is sent to a target, whether the record of its result will be written to the
// log in time.
//
// It handles an outage of the log for all instances, and a log that is slow: without it, requests run to completion and their
// results are then held until their callers' deadlines, or are lost. First requests of programs are refused first, requests
// of running programs last. While the log's state is unknown, single requests are let through as probes.
package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// unsureScore is the score of the failures since the last success at which first requests are refused, downScore that at
	// which all requests are. A write that failed scores failureScore: one answer may be lost by chance, and the second failure
	// confirms the first. A throttled write scores throttledScore, because a loaded log throttles some calls and accepts others.
	unsureScore    = 4
	downScore      = 8
	failureScore   = 4
	throttledScore = 1
	// stallFactor and minStall give the age of a waiting write at which the log is taken not to answer: a multiple of the
	// expected time of a write, and at least minStall.
	stallFactor = 4
	minStall    = 300 * time.Millisecond
	// answerFactor is how many times as long as an answer of the log a write may wait until the log is taken not to take writes, and
	// maxAnswerAge how old that answer may be. A write waits for the one before it, and a conflict adds a read and another one.
	answerFactor = 6
	maxAnswerAge = time.Second
	// usualWrite is the expected time of a write up to which the log is never the reason for a refusal.
	usualWrite = 100 * time.Millisecond
	// probeInterval is the time without a success or a failure after which a request may be a probe. Reports are written once a
	// second, so requests are probes only at an instance whose reports are not written either.
	probeInterval = 1200 * time.Millisecond
	// firstProbeInterval is the same for first requests of programs.
	firstProbeInterval = 2 * probeInterval
	// probeSlack is the time that a probe must have left after it has run, so that its caller does not wait in vain.
	probeSlack = time.Second
	// maxProbeRun bounds the expected run time of a probe.
	maxProbeRun = 2 * time.Second
	// minRetry and maxRetry bound the time to retry. Callers who come back later than maxRetry after an outage would make it
	// longer for themselves.
	minRetry = 500 * time.Millisecond
	maxRetry = 2 * time.Second
	// retrySpread is the part by which times to retry differ, so that refused callers do not all come back at once.
	retrySpread = 0.25
)

// Failure is how a write failed.
type Failure int

// Failures of writes.
const (
	// Throttled: the log refused the write because there were too many.
	Throttled Failure = iota
	// Unavailable: the log was not reached or could not take the write.
	Unavailable
	// UnknownOutcome: the log did not answer.
	UnknownOutcome
)

// Reason is why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// Failing: writes fail.
	Failing Reason = "failing"
	// Stalled: a write waits for longer than writes usually take, and none succeeds.
	Stalled Reason = "stalled"
	// Slow: writes take longer than the request has time.
	Slow Reason = "slow"
)

// Request is a request that is about to be sent to a target.
type Request struct {
	// Deadline is when the caller gives up; zero if never.
	Deadline time.Time
	// Run is the expected run time at the target.
	Run time.Duration
	// First marks the first request of a program.
	First bool
}

// Answer is the decision about a request.
type Answer struct {
	// Admitted: the request may be sent.
	Admitted bool
	// Probe: the request was admitted in order to learn the state of the log.
	Probe bool
	// Reason and RetryAfter describe a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Write is the expected time of a write.
	Write time.Duration
}

// Gate estimates from the writes of an instance whether the log will take further ones. It is not safe for concurrent use.
type Gate struct {
	random      *rand.Rand
	write       latency
	score       int       // of the failures since the last success
	failedAt    time.Time // the first of these failures
	lastResult  time.Time // time of the last success or failure, or the start
	healthyAt   time.Time // end of the last outage, when the log last did not answer a read, or the start
	down        bool      // an outage was found and no write has succeeded since
	downAt      time.Time
	waiting     int
	oldestAt    time.Time     // when the oldest waiting write began
	lastSuccess time.Time     // time of the last success, or the start
	answer      time.Duration // how long the log took to answer a read at answeredAt
	answeredAt  time.Time
	probedAt    time.Time
	probeEnd    time.Time // until when the result of the last probe is awaited
}

// New returns a gate that takes the log to be available.
func New(now time.Time, random *rand.Rand) *Gate {
	return &Gate{random: random, lastResult: now, healthyAt: now, lastSuccess: now}
}

// Succeeded records a write that the log accepted, and how long it took with its time in queues and its retries.
func (g *Gate) Succeeded(now time.Time, took time.Duration) {
	recovered := g.down || g.stalled(now)
	g.score, g.down = 0, false
	g.lastResult, g.lastSuccess, g.probeEnd = now, now, time.Time{}
	if recovered {
		// The write has waited for the end of the outage, so its time says nothing about the next one.
		g.healthyAt = now
		return
	}
	g.write.add(now, min(took, now.Sub(g.healthyAt)))
}

// SucceededElsewhere records a write that the log accepted and that is no record of a request. It ends an outage as any other. It may
// have waited in a queue of its own, so it replaces a longer expected time of a write, but does not raise it.
func (g *Gate) SucceededElsewhere(now time.Time, took time.Duration) {
	expected := g.write.expected(now)
	if took < expected {
		g.write = latency{}
	}
	g.Succeeded(now, min(took, expected))
}

// Failed records an attempt at a write that failed. The write may be tried again.
func (g *Gate) Failed(now time.Time, f Failure) {
	if g.score == 0 {
		g.failedAt = now
	}
	if f == Throttled {
		g.score += throttledScore
	} else {
		g.score += failureScore
	}
	g.lastResult, g.probeEnd = now, time.Time{}
	if g.score >= downScore && !g.down {
		g.down, g.downAt = true, g.failedAt
	}
}

// Waiting records how many writes wait for their success, and since when the oldest one does. The caller reports each change.
func (g *Gate) Waiting(now time.Time, count int, oldest time.Duration) {
	g.waiting, g.oldestAt = count, now.Add(-oldest)
}

// Answered records that the log has answered a read, and how long that took. A log that answers late is not taken for one that does not
// answer.
func (g *Gate) Answered(now time.Time, took time.Duration) {
	g.answer, g.answeredAt = took, now
	if g.down && g.score == 0 && !g.stalled(now) {
		g.down = false
	}
}

// Unanswered records that the log has not answered a read in time. What writes have waited before that says nothing about a log that
// answers again.
func (g *Gate) Unanswered(now time.Time) { g.healthyAt = now }

// MaxWait returns how long a write may wait until the log is taken not to take writes.
func (g *Gate) MaxWait(now time.Time) time.Duration {
	limit := max(minStall, stallFactor*g.write.expected(now))
	if now.Sub(g.answeredAt) <= maxAnswerAge {
		limit = max(limit, answerFactor*g.answer)
	}
	return limit
}

// stalled reports whether a write waits for longer than writes usually take, and than the answers of the log explain, while none
// succeeds.
func (g *Gate) stalled(now time.Time) bool {
	limit := g.MaxWait(now)
	return g.waiting > 0 && now.Sub(g.oldestAt) >= limit && now.Sub(g.lastSuccess) >= limit
}

// ExpectedWrite returns the expected time of a write. What waited since before the end of an outage counts from that end.
func (g *Gate) ExpectedWrite(now time.Time) time.Duration {
	expected := g.write.expected(now)
	if g.waiting > 0 {
		expected = max(expected, min(now.Sub(g.oldestAt), now.Sub(g.healthyAt)))
	}
	return expected
}

// Decide decides about a request.
func (g *Gate) Decide(now time.Time, r Request) Answer {
	if !g.down && g.stalled(now) {
		g.down, g.downAt = true, later(g.oldestAt, g.lastSuccess)
	}
	a := Answer{Write: g.ExpectedWrite(now)}
	switch {
	case g.down && g.score > 0:
		a.Reason = Failing
	case g.down:
		a.Reason = Stalled
	case g.score >= unsureScore && r.First:
		a.Reason = Failing
	case g.lateness(now, r, a.Write) > 0:
		a.Reason = Slow
	}
	a.Probe = a.Reason != "" && g.probe(now, r)
	a.Admitted = a.Reason == "" || a.Probe
	if !a.Admitted {
		a.RetryAfter = g.retryAfter(now, r, a)
	}
	return a
}

// lateness returns how much later than its deadline the record of a request would be written, or 0. First requests of programs need
// twice the expected time: their reservation is written before they are sent, and they are refused before others.
func (g *Gate) lateness(now time.Time, r Request, write time.Duration) time.Duration {
	if r.Deadline.IsZero() || write <= usualWrite {
		return 0
	}
	if r.First {
		write *= 2
	}
	return max(0, now.Add(r.Run+write).Sub(r.Deadline))
}

// probe reports whether a request that would be refused is let through because nothing else tells the state of the log.
func (g *Gate) probe(now time.Time, r Request) bool {
	interval := probeInterval
	if r.First {
		interval = firstProbeInterval
	}
	quiet := now.Sub(later(g.lastResult, g.probedAt)) >= interval && !now.Before(g.probeEnd)
	suitable := r.Run <= maxProbeRun && (r.Deadline.IsZero() || r.Deadline.Sub(now) >= r.Run+probeSlack)
	// Writes that wait are tried again and tell when the log accepts one.
	if !quiet || !suitable || g.waiting > 0 {
		return false
	}
	g.probedAt, g.probeEnd = now, now.Add(r.Run+probeSlack)
	return true
}

// retryAfter returns when the log is expected to take the record of a refused request. An outage is expected to last as long
// again as it has lasted.
func (g *Gate) retryAfter(now time.Time, r Request, a Answer) time.Duration {
	expected := g.lateness(now, r, a.Write)
	if a.Reason != Slow {
		expected = now.Sub(g.downAt)
		if !g.down {
			expected = now.Sub(g.failedAt)
		}
	}
	spread := 1 + retrySpread*g.random.Float64()
	return time.Duration(float64(min(max(expected, minRetry), maxRetry)) * spread)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
