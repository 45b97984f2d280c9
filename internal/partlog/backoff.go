package partlog

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"time"
)

// defaultMaxFactor bounds how much longer than at first a repeated call waits for its answer, and how much longer the pause before it
// is. An outage that ends unnoticed costs at most this.
const defaultMaxFactor = 4

// Backoff decides how long the calls of one caller wait for their answers, and how long the caller pauses after a failure. An
// answer may be late because more is asked of the log than it can do. If all callers gave up as early as before and asked again
// at once, the log would only do what nobody waits for any more. So each call without an answer gives the next one twice the
// time and doubles the pause before it. It is not safe for concurrent use.
type Backoff struct {
	// Timeout is how long the first call waits, and Pause the longest pause after its failure.
	Timeout, Pause time.Duration
	// MaxFactor bounds how often both are doubled, as a factor; 0 for the default of 4.
	MaxFactor int
	factor    int
}

// Next returns how long the next call waits for its answer, in addition to the time for which it waits for records.
func (b *Backoff) Next() time.Duration { return b.Timeout * time.Duration(max(b.factor, 1)) }

// Record records the result of a read and returns the pause before the next one, 0 if the read has succeeded. A random half of the
// pause keeps callers apart that failed together.
func (b *Backoff) Record(err error) (pause time.Duration) {
	if err == nil {
		b.factor = 1
		return 0
	}
	pause = b.Pause * time.Duration(max(b.factor, 1))
	if errors.Is(err, ErrOutcomeUnknown) {
		b.double()
	}
	return pause/2 + rand.N(pause/2+1)
}

// RecordAppend records the result of an append as Record does. A log that refuses appends may do so because too many wait, so each
// failure doubles the pause.
func (b *Backoff) RecordAppend(err error) (pause time.Duration) {
	pause = b.Record(err)
	if err != nil && !errors.Is(err, ErrOutcomeUnknown) {
		b.double()
	}
	return pause
}

func (b *Backoff) double() {
	b.factor = min(max(b.factor, 1)*2, cmp.Or(b.MaxFactor, defaultMaxFactor))
}
