package recordgate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/recordgate"
	"github.com/comfreylink/comfreylink/pkg/admission"
)

// Guards against requests that are refused after a fixed time while the log is slow, and against those that wait for a log which does
// not answer or until they cannot run any more.
func TestPrepare(t *testing.T) {
	for name, test := range map[string]struct {
		answer, deadline, run, want time.Duration
		answered                    bool
	}{
		"no answer":        {deadline: 5 * time.Second, want: 700 * time.Millisecond},
		"usual answers":    {answered: true, answer: 4 * time.Millisecond, deadline: 5 * time.Second, want: 700 * time.Millisecond},
		"late answers":     {answered: true, answer: 300 * time.Millisecond, deadline: 5 * time.Second, want: 1800 * time.Millisecond},
		"must run":         {answered: true, answer: 300 * time.Millisecond, deadline: 2 * time.Second, run: time.Second, want: time.Second},
		"short deadline":   {answered: true, answer: 300 * time.Millisecond, deadline: 300 * time.Millisecond, want: 300 * time.Millisecond},
		"long run":         {answered: true, answer: 300 * time.Millisecond, deadline: time.Second, run: time.Minute, want: 700 * time.Millisecond},
		"without deadline": {want: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				g := recordgate.New(recordgate.Config{Now: time.Now, Partitions: 1, Observer: &results{}, Logger: zap.NewNop()})
				began := time.Now()
				r := admission.Request{Run: test.run}
				if test.deadline > 0 {
					r.Deadline = began.Add(test.deadline)
				}
				ctx, cancel := g.Prepare(context.Background(), began, r)
				defer cancel()
				for test.answered && ctx.Err() == nil {
					g.Answered(test.answer)
					select {
					case <-time.After(500 * time.Millisecond):
					case <-ctx.Done():
					}
				}
				<-ctx.Done()
				c.Check(time.Since(began), qt.Equals, test.want)
				c.Check(context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
			})
		})
	}
}
