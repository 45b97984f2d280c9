// Package partlog defines the interface of the platform's partitioned log: partitions take appends, optionally on the
// condition that they end at an offset, and are read from an offset on.
package partlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Partition names one append-only sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// Page is a range of consecutive records of a partition, as one read returns it.
type Page struct {
	Records [][]byte
	// From is the offset of the page's first record.
	From ids.Offset
	// End is the offset after the last record of the partition, First the offset of its oldest retained record.
	End, First ids.Offset
	// Age is how long before the read began the log had this state. It is 0 for a direct read, and negative if the state is from a
	// time after the beginning.
	Age time.Duration
}

// Next returns the offset after the page's last record.
func (p Page) Next() ids.Offset { return p.From + ids.Offset(len(p.Records)) }

// Entry is the newest record of a key in a keyed partition.
type Entry struct {
	Key    string
	Value  []byte
	Offset ids.Offset
}

// ErrNotApplied is wrapped by errors of calls that definitely had no effect and will have none.
var ErrNotApplied = errors.New("the log did not apply the call")

// ErrThrottled is wrapped, together with ErrNotApplied, by errors of calls that the log refused because there were too
// many.
var ErrThrottled = errors.New("the log throttles calls")

// ErrPaced is wrapped, together with ErrNotApplied and ErrThrottled, by errors of calls for which this instance was above the
// rate that it may use of the log: the call was not sent, or was throttled and the rate lowered. It says nothing about whether
// this instance reaches the log.
var ErrPaced = errors.New("this instance is above the rate at which it may call the log")

// ErrUnavailable is wrapped, together with ErrNotApplied, by errors of calls that were not sent because the log is
// considered unavailable. An immediate retry is useless.
var ErrUnavailable = errors.New("the log is unavailable")

// ErrOutcomeUnknown is wrapped by errors of calls that may have taken effect or may still do so.
var ErrOutcomeUnknown = errors.New("the log did not answer, so the outcome of the call is unknown")

// ConflictError is the error of a conditional append to a partition that does not end at the expected offset. End is the
// offset at which it ends.
type ConflictError struct{ End ids.Offset }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append conflict: the partition ends at offset %d", e.End)
}

// TruncatedError is the error of a read from an offset whose record was deleted. First is the offset of the oldest
// retained record.
type TruncatedError struct{ First ids.Offset }

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("truncated partition: the oldest retained record is at offset %d", e.First)
}

// Log is the platform's log.
type Log interface {
	// Append appends all of the records or none and returns the offset of the first one. Unless at is AnyOffset, the
	// partition must end at that offset; otherwise the error is a *ConflictError.
	Append(ctx context.Context, p Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error)
	// Read returns records from an offset on. If there are none yet, it waits up to wait for some. The error is a
	// *TruncatedError if the record at the offset was deleted.
	Read(ctx context.Context, p Partition, from ids.Offset, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key of a keyed partition and the partition's end.
	Newest(ctx context.Context, p Partition) (l []Entry, end ids.Offset, err error)
}

// ReadRetained reads records from an offset on without waiting for new ones. If the record there was deleted, it reads
// from the oldest retained record on. The timeout bounds each call to the log.
func ReadRetained(ctx context.Context, l Log, p Partition, from ids.Offset, timeout time.Duration) (page Page, err error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		page, err = l.Read(callCtx, p, from, 0)
		cancel()
		var truncated *TruncatedError
		if !errors.As(err, &truncated) {
			return page, err
		}
		from = truncated.First
	}
}

// beyondEnd is an offset that no partition reaches.
const beyondEnd ids.Offset = 1 << 50

// End returns the offset after the last record of a partition. It is the smallest read: the log sends no record.
func End(ctx context.Context, l Log, p Partition) (end ids.Offset, err error) {
	page, err := l.Read(ctx, p, beyondEnd, 0)
	return page.End, err
}

// ReadsNothing reports whether a read from an offset is one that End makes.
func ReadsNothing(from ids.Offset) bool { return from >= beyondEnd }

// AnyOffset makes an append unconditional.
const AnyOffset ids.Offset = -1

// Keyspace is a set of partitions over which keys are spread by hash.
type Keyspace struct {
	// Name is the prefix of the topics' names.
	Name string
	// Topics is the number of topics, Parts the number of partitions of each topic.
	Topics, Parts int
}

// PartitionFor returns the partition of a key.
func (s Keyspace) PartitionFor(key string) Partition {
	return s.partition(int(xxhash.Sum64String(key) % uint64(s.Topics*s.Parts)))
}

// Partitions returns all partitions.
func (s Keyspace) Partitions() (l []Partition) {
	for i := range s.Topics * s.Parts {
		l = append(l, s.partition(i))
	}
	return l
}

func (s Keyspace) partition(n int) Partition {
	return Partition{Topic: fmt.Sprintf("%s-%02d", s.Name, n/s.Parts), Part: n % s.Parts}
}

// KeyspaceOf returns the name of the keyspace to which a topic belongs by its name, and the topic itself if it belongs to none.
func KeyspaceOf(topic string) string {
	name := strings.TrimRight(topic, "0123456789")
	if space, ok := strings.CutSuffix(name, "-"); ok && len(topic) > len(name) {
		return space
	}
	return topic
}
