package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// maxTimeStepFraction is the part of the key retention by which a single writer may move the stream's time ahead at
// once. With a quarter, a single wrong clock shortens the retention of a key by at most a quarter.
const maxTimeStepFraction = 4

// streamTime is the time by which keys expire: the largest time that the owners stated in counted records. Every
// reader computes the same.
//
// A clock that is behind has no effect. A time that is ahead of the stream's time by more than a quarter of the key
// retention is only noted, until another instance states a time that far ahead too. Then the lower of the two counts,
// and the retention of all keys starts again, because it is not known when they were used. After a quiet period of that
// length, keys are therefore kept until the slot has had a second owner. The first time of a stream has nothing to be
// compared with; a clock that is ahead there keeps the keys until the other clocks have caught up, which costs memory.
type streamTime struct {
	now    int64  // Unix milliseconds, 0 before the first time
	ahead  int64  // time noted from one instance only, 0 for none
	source string // instance that stated ahead
	jumped bool   // the last step does not tell how old the keys are
}

// next returns the stream's time after a record of w that states the time t.
func (s streamTime) next(w ids.WriterID, t int64, retention time.Duration) streamTime {
	s.jumped = false
	if t <= s.now {
		return s
	}
	if s.now != 0 && t <= s.now+retention.Milliseconds()/maxTimeStepFraction {
		s.now = t
		return s.dropReached()
	}
	// Runs of one instance share its clock, so the nonce of the writer is left out.
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

// dropReached forgets the noted time once the stream's time has reached it. The stream's time lagged behind the keys
// that were used meanwhile, so this counts as a jump too.
func (s streamTime) dropReached() streamTime {
	if s.ahead != 0 && s.ahead <= s.now {
		s.ahead, s.source = 0, ""
		s.jumped = true
	}
	return s
}

// checkUnused returns an error if a key has an entry that does not expire at the given stream time.
func (s *Slot) checkUnused(k keyID, t streamTime) error {
	e := s.keys[k]
	if e == nil || s.expired(e, t) {
		return nil
	}
	return fmt.Errorf("%w: %q", ErrDuplicateKey, k.Key)
}

// expired reports whether a key's retention is over. An intent of the current epoch is kept, since it may be running.
func (s *Slot) expired(e *entry, t streamTime) bool {
	return !t.jumped && e.At+s.retention.Milliseconds() < t.now && s.keyState(e).Phase != PhaseIntent
}

func (s *Slot) addKey(k keyID, attempt int64, state KeyState) {
	s.keys[k] = &entry{State: state, Attempt: attempt, At: s.time.now}
	s.expiry = append(s.expiry, expiring{k, s.time.now})
}

// advance moves the stream's time and removes the keys whose retention is over.
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

func (s *Slot) expire(x expiring) {
	e := s.keys[x.key]
	if e == nil || e.At != x.at {
		return // cancelled, or used again since
	}
	if s.expired(e, s.time) {
		delete(s.keys, x.key)
		return
	}
	e.At = s.time.now
	s.expiry = append(s.expiry, expiring{x.key, e.At})
}
