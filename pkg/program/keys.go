package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// maxTimeStepDivisor divides the key retention to give the largest step by which a single instance may advance the
// stream's time. With 4, a single wrong clock shortens the retention of a key by at most a quarter.
const maxTimeStepDivisor = 4

// streamTime is the time by which keys expire: the largest time that owners stated in accepted records. Every reader
// computes the same value.
//
// A stated time that is behind the stream's time has no effect. One that is ahead by more than a quarter of the key
// retention is only noted, until another instance also states a time that far ahead. Then the lower of the two becomes
// the stream's time, and the retention of all keys starts again, because it is not known when they were used. So after a
// quiet period of more than a quarter of the retention, keys are kept until the slot has had a second owner.
//
// The first time in a stream is accepted without comparison. If that clock is ahead, keys are kept until the other clocks
// have caught up, which costs memory.
type streamTime struct {
	now    int64  // Unix milliseconds, 0 before the first time
	ahead  int64  // time noted from one instance only, 0 for none
	source string // instance that stated ahead
	jumped bool   // the age of the keys is unknown after the last step, so all retentions start again
}

// next returns the stream's time after a record of w that states the time t.
func (s streamTime) next(w ids.WriterID, t int64, retention time.Duration) streamTime {
	s.jumped = false
	if t <= s.now {
		return s
	}
	if s.now != 0 && t <= s.now+retention.Milliseconds()/maxTimeStepDivisor {
		s.now = t
		return s.dropReached()
	}
	// All runs of an instance share its clock, so the nonce in the writer's id is ignored.
	instance, _, _ := strings.Cut(string(w), "#")
	if s.now != 0 && (s.source == "" || s.source == instance) {
		s.ahead, s.source = t, instance
		return s
	}
	if s.now != 0 {
		t = min(t, s.ahead)
	}
	s.now = t
	s.jumped = true
	return s.dropReached()
}

// dropReached deletes the noted time once the stream's time has reached it. Keys that were used in between were stamped
// with a stream time that lagged behind, so this counts as a jump too.
func (s streamTime) dropReached() streamTime {
	if s.ahead != 0 && s.ahead <= s.now {
		s.ahead, s.source = 0, ""
		s.jumped = true
	}
	return s
}

// checkUnused returns ErrDuplicateKey if a key has an entry that has not expired at stream time t.
func (s *Slot) checkUnused(k keyID, t streamTime) error {
	e := s.keys[k]
	if e == nil || s.expired(e, t) {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrDuplicateKey, k.Key)
}

// expired reports whether the retention of a key is over at stream time t. An intent of the current epoch never expires,
// because its request may be running.
func (s *Slot) expired(e *entry, t streamTime) bool {
	return !t.jumped && e.At+s.retention.Milliseconds() < t.now && s.keyState(e).Phase != PhaseIntent
}

// addKey sets the state of a key and starts its retention.
func (s *Slot) addKey(k keyID, attempt int64, state KeyState) {
	s.keys[k] = &entry{State: state, Attempt: attempt, At: s.time.now}
	s.expiry = append(s.expiry, expiring{k, s.time.now})
}

// advance sets the stream's time and removes the keys whose retention is over.
func (s *Slot) advance(t streamTime) {
	s.time = t
	for n := len(s.expiry); n > 0 && s.due(t); n-- {
		first := s.expiry[0]
		s.expiry = s.expiry[1:]
		s.expire(first)
	}
}

// due reports whether the first key in the queue is to be expired or, after a jump, to be queued again.
func (s *Slot) due(t streamTime) bool {
	return t.jumped || s.expiry[0].at+s.retention.Milliseconds() < t.now
}

// expire removes the key of a queue entry, or queues it again if its retention is not over or has to start again.
func (s *Slot) expire(x expiring) {
	e := s.keys[x.key]
	if e == nil || e.At != x.at {
		return // cancelled, or stored again with a later queue entry
	}
	if s.expired(e, s.time) {
		delete(s.keys, x.key)
		return
	}
	e.At = s.time.now
	s.expiry = append(s.expiry, expiring{x.key, e.At})
}
