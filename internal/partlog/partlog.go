// Package partlog names what the gateway needs of the platform's log: partitions that are appended to, conditionally or
// not, and read from an offset.
package partlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Partition is one append-only sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// Page is a part of a partition.
type Page struct {
	Records [][]byte
	// From is the offset of the first record.
	From ids.Offset
	// End is the offset after the last record of the partition, First that of the oldest one kept.
	End, First ids.Offset
}

// Next returns the offset after the page.
func (p Page) Next() ids.Offset { return p.From + ids.Offset(len(p.Records)) }

// Entry is the newest record of a key.
type Entry struct {
	Key    string
	Value  []byte
	Offset ids.Offset
}

// ErrNotApplied is wrapped by errors of calls that had no effect and will have none.
var ErrNotApplied = errors.New("the log did not take the call")

// ErrThrottled is wrapped, beside ErrNotApplied, by errors of calls that were refused as too many.
var ErrThrottled = errors.New("the log refuses calls as too many")

// ErrUnavailable is wrapped, beside ErrNotApplied, by errors of calls that were not tried because the log counts as away: another
// try at once is of no use.
var ErrUnavailable = errors.New("the log is away")

// ErrOutcomeUnknown is wrapped by errors of calls that may have had an effect, or may have one later.
var ErrOutcomeUnknown = errors.New("the log's answer did not arrive")

// ConflictError is the error of a conditional append to a partition that does not end where the caller said.
type ConflictError struct{ End ids.Offset }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// TruncatedError is the error of a read of records that were deleted.
type TruncatedError struct{ First ids.Offset }

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("the oldest record kept is %d", e.First) }

// Log is the platform's log.
type Log interface {
	// Append adds records, all or none. With at 0 or more, the partition must end there.
	Append(ctx context.Context, p Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error)
	// Read returns records from an offset on, and waits for some if there are none.
	Read(ctx context.Context, p Partition, from ids.Offset, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key of a keyed partition and the partition's end.
	Newest(ctx context.Context, p Partition) (l []Entry, end ids.Offset, err error)
}

// ReadRetained reads from an offset on without waiting for records, or from the oldest record that is kept if those before were
// deleted. The timeout bounds each try.
func ReadRetained(ctx context.Context, l Log, p Partition, from ids.Offset, timeout time.Duration) (page Page, err error) {
	for {
		try, cancel := context.WithTimeout(ctx, timeout)
		page, err = l.Read(try, p, from, 0)
		cancel()
		var gone *TruncatedError
		if !errors.As(err, &gone) {
			return page, err
		}
		from = gone.First
	}
}

// AnyOffset is the condition of an append that has none.
const AnyOffset ids.Offset = -1

// Keyspace is a set of partitions over which keys are spread.
type Keyspace struct {
	// Name is the prefix of the topics' names.
	Name string
	// Topics and Parts are the number of topics and of partitions of each.
	Topics, Parts int
}

// PartitionFor returns the partition of a key.
func (s Keyspace) PartitionFor(key string) Partition {
	n := int(xxhash.Sum64String(key) % uint64(s.Topics*s.Parts))
	return Partition{Topic: fmt.Sprintf("%s-%02d", s.Name, n/s.Parts), Part: n % s.Parts}
}
