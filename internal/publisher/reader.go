package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// pageBytes bounds the entries returned by one read.
const pageBytes = 4 << 20

// errNoSnapshot means that the start of the stream was deleted from the log, which has no complete snapshot yet.
var errNoSnapshot = errors.New("the log has no complete snapshot of the configuration")

// publishResult is the result of a publish: its revision, and the error if it was rejected.
type publishResult struct {
	revision ids.Revision
	err      error
}

// reader folds the config stream and keeps the results of one writer's batches by sequence number.
type reader struct {
	log     Log
	writer  ids.WriterID
	catalog *config.Catalog
	replay  *replay.Replay
	results map[int64]publishResult
}

func newReader(l Log, writer ids.WriterID) *reader {
	c := config.New()
	return &reader{log: l, writer: writer, catalog: c, replay: replay.New(c), results: map[int64]publishResult{}}
}

// read folds one page and reports whether it reached the end of the stream.
func (r *reader) read(ctx context.Context, wait time.Duration) (atEnd bool, err error) {
	page, err := r.log.Read(ctx, ids.ConfigStream, r.replay.Next(), pageBytes, wait)
	if err != nil {
		return false, err
	}
	r.replay.Page(page.Oldest)
	restored := false
	for _, e := range page.Entries {
		result := r.replay.ApplyEntry(e.Offset, e.Data)
		restored = restored || result.Kind == replay.Restored
		if result.Kind == replay.Applied && result.Writer == r.writer {
			r.results[result.Seq] = publishResult{ids.Revision(e.Offset), errors.Join(result.RecordErrors...)}
		}
	}
	r.replay.EndPage(page.Next)
	switch {
	case restored: // the next read starts after the snapshot
		return false, nil
	case page.AtEnd && !r.replay.Ready():
		return false, errNoSnapshot
	}
	return page.AtEnd, nil
}
