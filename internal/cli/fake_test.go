package cli_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// appendError is an append error like that of package logservice.
type appendError struct{ sent bool }

func (e appendError) Error() string { return "append failed" }
func (e appendError) Sent() bool    { return e.sent }

var errDown = errors.New("log service is down")

// fakeLog is a log service in memory with switchable faults.
type fakeLog struct {
	mu      sync.Mutex
	entries []logservice.Entry
	// oldest is the offset of the oldest kept entry.
	oldest ids.Offset
	// lostResponses is the number of next appends that take effect but return an error.
	lostResponses int
	// refused is the number of next appends that fail without effect.
	refused int
	// down makes reads fail.
	down bool
	// beforeAppend runs once, right before the next append takes effect.
	beforeAppend func()
}

func (f *fakeLog) Append(_ context.Context, _ ids.Stream, data []byte) (o ids.Offset, err error) {
	f.mu.Lock()
	beforeAppend := f.beforeAppend
	f.beforeAppend = nil
	f.mu.Unlock()
	if beforeAppend != nil {
		beforeAppend()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused > 0 {
		f.refused--
		return 0, appendError{sent: false}
	}
	f.entries = append(f.entries, logservice.Entry{Offset: ids.Offset(len(f.entries)), Data: data})
	if f.lostResponses > 0 {
		f.lostResponses--
		return 0, appendError{sent: true}
	}
	return ids.Offset(len(f.entries) - 1), nil
}

func (f *fakeLog) Read(ctx context.Context, _ ids.Stream, from ids.Offset, _ int, _ time.Duration) (p logservice.Page, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || ctx.Err() != nil {
		return logservice.Page{}, errDown
	}
	end := ids.Offset(len(f.entries))
	from = max(from, f.oldest)
	return logservice.Page{Oldest: f.oldest, Next: max(from, end), Entries: f.entries[min(from, end):], AtEnd: true}, nil
}

// seed appends a record of another writer.
func (f *fakeLog) seed(writer ids.WriterID, b record.Body) {
	r, err := record.New(b)
	data, err2 := record.Batch{Writer: writer, Seq: 1, Records: []record.Record{r}}.Encode()
	_, err3 := f.Append(context.Background(), ids.ConfigStream, data)
	if err := errors.Join(err, err2, err3); err != nil {
		panic(err)
	}
}
