package logcache

import (
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

const (
	// directShare is the share of the log's rate that the direct reads of all instances together may use.
	directShare = 0.25
	// directBurst is how many bytes an instance may read directly ahead of its rate.
	directBurst = 16 << 10
	// maxSlowdown bounds the factor by which reads without an answer lower an instance's rate, and maxDebt the bytes that it makes up for.
	// An instance whose readers are away must read within seconds once the log answers again.
	maxSlowdown = 4
	maxDebt     = recordBytes
)

// readBudget bounds the bytes that an instance reads directly although the partition has readers, so that all instances together do not
// ask for more than the log sends. A read may take more than is left, and the next one waits until that is made up for. It is not safe for
// concurrent use.
type readBudget struct {
	readRate int // of the log, for all instances
	debt     float64
	at       time.Time
	slowdown float64
}

// allow reports whether a read may be made now in a fleet of a size.
func (b *readBudget) allow(now time.Time, instances int) bool {
	rate := directShare * float64(b.readRate) / float64(max(instances, 1)) / max(b.slowdown, 1)
	b.debt = max(b.debt-rate*now.Sub(b.at).Seconds(), 0)
	b.at = now
	return b.debt <= directBurst
}

// record counts a read with the number of its bytes. A read without an answer counts as a record of the largest size.
func (b *readBudget) record(bytes int, err error) {
	if errors.Is(err, partlog.ErrOutcomeUnknown) {
		b.debt = min(b.debt+recordBytes, maxDebt)
		b.slowdown = min(max(b.slowdown, 1)*2, maxSlowdown)
		return
	}
	b.debt = min(b.debt+float64(bytes), maxDebt)
	b.slowdown = max(b.slowdown, 1) / 2
}
