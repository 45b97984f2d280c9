package publisher

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/internal/logservice"
	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/record"
)

// pageBytes bounds one read.
const pageBytes = 4 << 20

// verdict says what became of a batch.
type verdict struct {
	revision ids.Revision
	err      error
}

// reader folds the config stream and remembers the verdicts on the batches of one writer.
type reader struct {
	log      Log
	writer   ids.WriterID
	catalog  *config.Catalog
	next     ids.Offset
	seqs     map[ids.WriterID]int64
	verdicts map[int64]verdict
}

func newReader(l Log, writer ids.WriterID) *reader {
	return &reader{
		log: l, writer: writer, catalog: config.New(),
		seqs: map[ids.WriterID]int64{}, verdicts: map[int64]verdict{},
	}
}

// read folds one page and reports whether that was the end of the stream.
func (r *reader) read(ctx context.Context, wait time.Duration) (atEnd bool, err error) {
	page, err := r.log.Read(ctx, ids.ConfigStream, r.next, pageBytes, wait)
	if err != nil {
		return false, err
	}
	if page.Oldest > r.next {
		return false, fmt.Errorf("the log's oldest kept entry is %d, want %d", page.Oldest, r.next)
	}
	for _, e := range page.Entries {
		r.apply(e)
	}
	r.next = max(r.next, page.Next)
	return page.AtEnd, nil
}

func (r *reader) apply(e logservice.Entry) {
	b, err := record.Decode(e.Data)
	if err != nil || b.Seq <= r.seqs[b.Writer] {
		return
	}
	r.seqs[b.Writer] = b.Seq
	for i, rec := range b.Records {
		body, err := rec.Open()
		if err == nil && body.Type() != record.TypeSnapshot {
			err = r.catalog.Apply(ids.Position{Offset: e.Offset, Index: i}, b.Writer, body)
		}
		if b.Writer == r.writer {
			r.verdicts[b.Seq] = verdict{ids.Revision(e.Offset), err}
		}
	}
}
