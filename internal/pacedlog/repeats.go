package pacedlog

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

const (
	// repeatTime is how long a call that did not succeed is remembered, and so the longest time for which a spent budget keeps it
	// from being sent. The gateway's loops repeat it after 40 to 200 ms.
	repeatTime = time.Second
	// maxRepeats bounds the number of remembered calls.
	maxRepeats = 4096
)

// callHash identifies a call by its partition, offset and records.
type callHash uint64

// hashCall returns the identity of an append, or of a read if records is nil.
func hashCall(p partlog.Partition, at ids.Offset, records [][]byte) callHash {
	h := xxhash.New()
	_, _ = h.WriteString(p.Topic)
	var number [8]byte
	write := func(n int64) {
		binary.BigEndian.PutUint64(number[:], uint64(n))
		_, _ = h.Write(number[:])
	}
	write(int64(p.Part))
	write(int64(at))
	for _, r := range records {
		write(int64(len(r)))
		_, _ = h.Write(r)
	}
	return callHash(h.Sum64())
}

// repeats remembers which calls did not succeed. Callers repeat a call in loops without saying so, but the retry budget must
// count these attempts too, and none may follow within milliseconds.
type repeats map[callHash]ending

// ending is how a call ended.
type ending struct {
	at time.Time // of the first of consecutive tries that were not sent
	// failed: the log did not answer or was unavailable. Otherwise the call was throttled or dropped.
	failed bool
}

// mark marks a call that repeats one which did not succeed.
func (r repeats) mark(now time.Time, h callHash, c *logpace.Call) {
	last, ok := r[h]
	switch {
	case !ok || now.Sub(last.at) >= repeatTime:
	case last.failed:
		// The log may have recovered, so the budget for throttled calls does not apply.
		c.NotBefore = last.at.Add(logpace.MinBackoff)
	default:
		c.Retry = true
	}
}

// addDropped remembers a call that was not sent. Further tries that are not sent do not make that longer: the call would never be
// sent again if they came often enough.
func (r repeats) addDropped(now time.Time, h callHash) {
	if last, ok := r[h]; !ok || now.Sub(last.at) >= repeatTime {
		r.add(h, ending{at: now})
	}
}

// add remembers a call that did not succeed. If there are too many, it forgets the old ones, or else all.
func (r repeats) add(h callHash, e ending) {
	if len(r) >= maxRepeats {
		for old, last := range r {
			if e.at.Sub(last.at) >= repeatTime {
				delete(r, old)
			}
		}
	}
	if len(r) >= maxRepeats {
		clear(r)
	}
	r[h] = e
}
