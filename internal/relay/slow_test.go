package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// slowLog is a log that answers each read after 300 ms.
type slowLog struct{ *partlogtest.Log }

// Read implements partlog.Log.
func (l slowLog) Read(ctx context.Context, p partlog.Partition, from ids.Offset, wait time.Duration) (partlog.Page, error) {
	select {
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
		return partlog.Page{}, partlog.ErrOutcomeUnknown
	}
	return l.Log.Read(ctx, p, from, wait)
}

// Guards against a slow log that counts as one that does not answer: a small read that waits for another small read takes twice as long.
func TestSmallReadOfASlowLogIsMadeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := relay.New(relay.Config{Direct: slowLog{partlogtest.New()}, Peers: noPeers, Now: time.Now, Logger: zap.NewNop()})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := l.Read(ctx, part, 0, 0)
		c.Assert(err, qt.ErrorIs, partlog.ErrOutcomeUnknown)
		ctx, cancel = context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err = partlog.End(ctx, l, part)
		c.Assert(err, qt.IsNil)
	})
}
