// Package partlogtest provides an in-memory log for tests that can simulate faults of the platform's log.
package partlogtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Log is an in-memory partlog.Log. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	partitions map[partlog.Partition][][]byte
	first      map[partlog.Partition]ids.Offset // the oldest retained record
	calls      int
	fault      func(call int) Fault
}

// Fault is the simulated failure of one call. The zero value is no failure.
type Fault struct {
	// Err is the error that the call returns.
	Err error
	// Applied makes an append take effect although it returns Err.
	Applied bool
}

// New returns an empty log.
func New() *Log {
	return &Log{partitions: make(map[partlog.Partition][][]byte), first: make(map[partlog.Partition]ids.Offset)}
}

// Forget deletes the records that were appended so far. Offsets go on.
func (l *Log) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, records := range l.partitions {
		l.first[p] = ids.Offset(len(records))
	}
}

// End returns the offset after the last record of a partition.
func (l *Log) End(p partlog.Partition) ids.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ids.Offset(len(l.partitions[p]))
}

// ForgetBefore deletes the records of a partition before an offset.
func (l *Log) ForgetBefore(p partlog.Partition, offset ids.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first[p] = max(l.first[p], offset)
}

// SetFault sets a function that returns the fault of each call, and resets the number of calls. It is passed the number of
// the call since then, from 0. With nil, no call fails.
func (l *Log) SetFault(f func(call int) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls, l.fault = 0, f
}

// Calls returns the number of calls since SetFault.
func (l *Log) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Records returns a copy of all records of all partitions.
func (l *Log) Records() (all [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, records := range l.partitions {
		all = append(all, records...)
	}
	return all
}

// nextFault counts a call and returns its fault. The caller holds the lock.
func (l *Log) nextFault() (f Fault) {
	if l.fault != nil {
		f = l.fault(l.calls)
	}
	l.calls++
	return f
}

// Append implements partlog.Log.
func (l *Log) Append(_ context.Context, p partlog.Partition, at ids.Offset, records ...[]byte) (first ids.Offset, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.nextFault()
	if f.Err != nil && !f.Applied {
		return 0, f.Err
	}
	end := ids.Offset(len(l.partitions[p]))
	if at != partlog.AnyOffset && at != end {
		return 0, &partlog.ConflictError{End: end}
	}
	for _, r := range records {
		l.partitions[p] = append(l.partitions[p], slices.Clone(r))
	}
	return end, f.Err
}

// Read implements partlog.Log. It does not wait.
func (l *Log) Read(_ context.Context, p partlog.Partition, from ids.Offset, _ time.Duration) (page partlog.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.nextFault(); f.Err != nil {
		return page, f.Err
	}
	if first := l.first[p]; from < first {
		return page, &partlog.TruncatedError{First: first}
	}
	records := l.partitions[p]
	return partlog.Page{
		Records: slices.Clone(records[min(int(from), len(records)):]), From: from, First: l.first[p], End: ids.Offset(len(records)),
	}, nil
}

// Newest implements partlog.Log. It returns nothing; no test needs it.
func (l *Log) Newest(context.Context, partlog.Partition) ([]partlog.Entry, ids.Offset, error) {
	return nil, 0, nil
}
