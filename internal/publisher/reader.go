package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/comfreylink/comfreylink/pkg/config"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/replay"
)

// pageBytes bounds one read.
const pageBytes = 4 << 20

// errNoSnapshot says that the log no longer has the start of the stream and does not have a complete snapshot yet.
var errNoSnapshot = errors.New("the log has no complete snapshot of the configuration")

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
	replay   *replay.Replay
	verdicts map[int64]verdict
}

func newReader(l Log, writer ids.WriterID) *reader {
	c := config.New()
	return &reader{log: l, writer: writer, catalog: c, replay: replay.New(c), verdicts: map[int64]verdict{}}
}

// read folds one page and reports whether that was the end of the stream.
func (r *reader) read(ctx context.Context, wait time.Duration) (atEnd bool, err error) {
	page, err := r.log.Read(ctx, ids.ConfigStream, r.replay.Next(), pageBytes, wait)
	if err != nil {
		return false, err
	}
	r.replay.Page(page.Oldest)
	restored := false
	for _, e := range page.Entries {
		result := r.replay.Entry(e.Offset, e.Data)
		restored = restored || result.Kind == replay.Restored
		if result.Kind == replay.Applied && result.Writer == r.writer {
			r.verdicts[result.Seq] = verdict{ids.Revision(e.Offset), errors.Join(result.RecordErrors...)}
		}
	}
	r.replay.Advance(page.Next)
	switch {
	case restored: // goes on behind the snapshot
		return false, nil
	case page.AtEnd && !r.replay.Ready():
		return false, errNoSnapshot
	}
	return page.AtEnd, nil
}
