package pacedlog

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// repeatTime is how long a call that was throttled or dropped is remembered. The gateway's loops repeat it after 100 to
	// 200 ms.
	repeatTime = 2 * time.Second
	// maxRepeats bounds the number of remembered calls.
	maxRepeats = 4096
)

// callHash identifies a call by its partition, offset and records.
type callHash uint64

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

// repeats remembers which calls were throttled or dropped. Callers repeat a call in loops without saying so, and the retry
// budget must count these attempts too.
type repeats map[callHash]time.Time

// contains reports whether a call is the repetition of one that was throttled or dropped.
func (r repeats) contains(now time.Time, h callHash) bool {
	at, ok := r[h]
	return ok && now.Sub(at) < repeatTime
}

func (r repeats) add(now time.Time, h callHash) {
	if len(r) >= maxRepeats {
		for old, at := range r {
			if now.Sub(at) >= repeatTime {
				delete(r, old)
			}
		}
	}
	if len(r) >= maxRepeats {
		clear(r)
	}
	r[h] = now
}
