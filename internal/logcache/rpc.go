package logcache

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/comfreylink/comfreylink/internal/alive"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

// Names of methods.
const (
	methodRead   = "cachedRead"
	methodNewest = "cachedNewest"
	methodAppend = "combinedAppend"
)

// Codes of answers, in addition to those of JSON-RPC.
const (
	// codeNotCached: the reader does not have the records any more.
	codeNotCached = 1
	// codeNotApplied: the records were not appended and will not be.
	codeNotApplied = 2
)

// maxUnpackedBytes bounds what a packed value of another instance may unpack to.
const maxUnpackedBytes = 16 << 20

type readParams struct {
	Partition partlog.Partition `json:"partition"`
	From      ids.Offset        `json:"from"`
	WaitMs    int64             `json:"waitMs"`
}

type readResult struct {
	From  ids.Offset `json:"from"`
	End   ids.Offset `json:"end"`
	First ids.Offset `json:"first"`
	AgeMs int64      `json:"ageMs"`
	// Records is a packed list of records; empty if there is none.
	Records []byte `json:"records,omitempty"`
}

type newestParams struct {
	Partition partlog.Partition `json:"partition"`
}

type newestResult struct {
	End ids.Offset `json:"end"`
	// Entries is a packed list of entries.
	Entries []byte `json:"entries"`
}

type appendParams struct {
	Partition partlog.Partition `json:"partition"`
	Records   [][]byte          `json:"records"`
	// TimeoutMs is how long the caller waits.
	TimeoutMs int64 `json:"timeoutMs"`
}

type appendResult struct {
	First ids.Offset `json:"first"`
}

// Methods returns the methods that other instances call. They read the log themselves and never through a third instance.
func (l *Log) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{
		methodAppend: rpc.Typed(l.serveAppend),
		methodRead: rpc.Typed(func(ctx context.Context, p readParams) (any, error) {
			if err := l.checkShared(p.Partition); err != nil {
				return nil, err
			}
			t := l.tailOf(p.Partition)
			page, err := t.read(ctx, p.From, min(time.Duration(p.WaitMs)*time.Millisecond, maxWait))
			if errors.Is(err, errNotCached) {
				return nil, &jsonrpc2.Error{Code: codeNotCached, Message: err.Error()}
			}
			if err != nil {
				return nil, err
			}
			return t.encode(page), nil
		}),
		methodNewest: rpc.Typed(func(ctx context.Context, p newestParams) (any, error) {
			if err := l.checkShared(p.Partition); err != nil {
				return nil, err
			}
			r, err := l.readNewest(ctx, p.Partition)
			if err != nil {
				return nil, err
			}
			r.encodeOnce.Do(func() { r.encoded = newestResult{End: r.end, Entries: pack(r.entries)} })
			return r.encoded, nil
		}),
	}
}

// maxWait bounds the wait of a read for another instance.
const maxWait = 30 * time.Second

func (l *Log) checkShared(p partlog.Partition) error {
	if _, shared := l.Backlogs[p]; !shared {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the partition is not read for others"}
	}
	return nil
}

// packedPage is the last page that was packed.
type packedPage struct {
	from, next ids.Offset
	records    []byte
}

// encode returns a page as it is sent to other instances. Most of them ask for the same records.
func (t *tail) encode(p partlog.Page) readResult {
	r := readResult{From: p.From, End: p.End, First: p.First, AgeMs: p.Age.Milliseconds()}
	if len(p.Records) == 0 {
		return r
	}
	t.mu.Lock()
	packed := t.packed
	t.mu.Unlock()
	if packed.from != p.From || packed.next != p.Next() {
		packed = packedPage{from: p.From, next: p.Next(), records: pack(p.Records)}
		t.mu.Lock()
		t.packed = packed
		t.mu.Unlock()
	}
	r.Records = packed.records
	return r
}

func (r readResult) page() (p partlog.Page, err error) {
	p = partlog.Page{From: r.From, End: r.End, First: r.First, Age: time.Duration(r.AgeMs) * time.Millisecond}
	if len(r.Records) > 0 {
		err = unpack(r.Records, &p.Records)
	}
	return p, err
}

// readThrough reads a partition through another instance.
func (l *Log) readThrough(ctx context.Context, m leader.Member, p partlog.Partition, from ids.Offset, wait time.Duration) (page partlog.Page, err error) {
	var r readResult
	asked := l.Now()
	if err = l.call(ctx, m, wait, methodRead, readParams{Partition: p, From: from, WaitMs: wait.Milliseconds()}, &r); err == nil {
		page, err = r.page()
		page.Age = max(page.Age, asked.Sub(l.Now())) // the log cannot have had the state after the answer
	}
	if err == nil && page.From != from {
		err = fmt.Errorf("the page begins at offset %d instead of %d", page.From, from)
	}
	return page, err
}

func (l *Log) newestThrough(ctx context.Context, m leader.Member, p partlog.Partition) (entries []partlog.Entry, end ids.Offset, err error) {
	var r newestResult
	if err = l.call(ctx, m, 0, methodNewest, newestParams{Partition: p}, &r); err == nil {
		err = unpack(r.Entries, &entries)
	}
	return entries, r.End, err
}

func (l *Log) call(ctx context.Context, m leader.Member, wait time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+maxAnswerTime)
	defer cancel()
	ctx, stop := alive.Watch(ctx, l.Caller, m.Address, wait+answerTimeout)
	defer stop()
	err := l.Caller.Call(ctx, m.Address, method, params, result)
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) && answered.Code == codeNotCached {
		return errNotCached
	}
	return err
}

// writers holds compressors, which need about a megabyte each.
var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// pack encodes a value as compressed JSON. Configurations and reports repeat themselves, and many instances receive them.
func pack(v any) []byte {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	// Writes to a buffer do not fail, and the types that are packed can be encoded.
	_ = json.NewEncoder(w).Encode(v)
	_ = w.Close()
	return b.Bytes()
}

// unpack decodes what pack has encoded.
func unpack(data []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(data))
	return json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(v)
}
