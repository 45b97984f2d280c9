package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/partlog"
)

// Guards against callers who are told to come back before a slow log could write anything, and then wait in vain once more.
func TestLogRetryDelay(t *testing.T) {
	for _, test := range []struct {
		err         error
		write, want time.Duration
	}{
		{context.DeadlineExceeded, 0, shortRetryDelay},
		{context.DeadlineExceeded, 20 * time.Millisecond, shortRetryDelay},
		{context.DeadlineExceeded, 800 * time.Millisecond, 800 * time.Millisecond},
		{context.DeadlineExceeded, time.Minute, maxSlowRetryDelay},
		{partlog.ErrUnavailable, 0, outageRetryDelay},
	} {
		qt.Check(t, logRetryDelay(test.err, test.write), qt.Equals, test.want)
	}
}
