package programs

import (
	"context"
	"errors"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

// lock is a mutual exclusion lock whose waiters give up when their context ends. It is for locks that are held during calls
// to the log.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// acquire blocks until the lock is held. The error wraps partlog.ErrNotApplied.
func (l lock) acquire(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(partlog.ErrNotApplied, context.Cause(ctx))
	}
}

func (l lock) release() { <-l }
