package telemetry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/telemetry"
	"github.com/comfreylink/comfreylink/pkg/logpace"
)

var start = time.Unix(1000, 0)

func newMetrics(c *qt.C) *telemetry.Metrics {
	m, cleanup, err := telemetry.New()
	c.Assert(err, qt.IsNil)
	c.Cleanup(cleanup)
	_, due := m.TakeStoreUse(start)
	c.Assert(due, qt.IsFalse)
	return m
}

// Guards against calls that were given up and that neither the log event nor the metrics attribute to their topic and caller.
func TestStoreUseByTopicKindAndOutcome(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(c)
	lease := pacedlog.WithKind(c.Context(), logpace.Lease)
	for range 2 {
		m.StoreCall(lease, partlog.Call{Name: "append", Topic: "reports", Took: 1500 * time.Microsecond, Sent: 10, Outcome: partlog.Unanswered})
	}
	m.StoreCall(lease, partlog.Call{Name: "append", Topic: "reports", Took: time.Second, Sent: 10, Received: 5, Outcome: partlog.Answered})
	m.StoreCall(c.Context(), partlog.Call{Name: "read", Topic: "turns-07", Received: 100, Outcome: partlog.Answered})
	m.StoreCall(c.Context(), partlog.Call{Name: "read", Topic: "turns-08", Outcome: partlog.NotSent})
	use, due := m.TakeStoreUse(start.Add(2 * time.Second))
	c.Assert(due, qt.IsTrue)
	c.Assert(use, qt.DeepEquals, telemetry.StoreUse{Interval: 2 * time.Second, Calls: []telemetry.StoreRow{
		{Topic: "reports", Call: "append", Kind: "lease", Answered: 1, Unanswered: 2, UnansweredMs: 3, Sent: 30, Received: 5},
		{Topic: "turns", Call: "read", Kind: "reservation", Answered: 1, NotSent: 1, Received: 100},
	}})
	w := httptest.NewRecorder()
	m.Handler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	labels := `comfreylink_failed="true",comfreylink_outcome="unanswered",comfreylink_store_call="append",comfreylink_store_topic="reports"`
	c.Assert(w.Body.String(), qt.Contains, "comfreylink_store_call_duration_seconds_count{"+labels+"} 2\n")
	c.Assert(w.Body.String(), qt.Contains, "comfreylink_store_io_bytes_total{"+labels+`,network_io_direction="transmit"} 20`+"\n")
}

// Guards against an event that comes too late for a short incident, and against one that is logged every 2 s while the log answers.
func TestStoreUseIsDue(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(c)
	call := func(n int, o partlog.Outcome) {
		for range n {
			m.StoreCall(context.Background(), partlog.Call{Topic: "t", Outcome: o})
		}
	}
	for i, step := range []struct {
		answered, refused int
		due               bool
		answeredSince     int
	}{
		{90, 10, false, 0}, // 2 s
		{100, 0, false, 0}, // 4 s
		{17, 3, true, 207}, // 6 s
		{17, 3, true, 17},  // 8 s
		{20, 0, false, 0},  // 10 s
		{20, 0, false, 0},  // 12 s
		{20, 0, false, 0},  // 14 s
		{20, 0, false, 0},  // 16 s
		{20, 0, true, 100}, // 18 s
		{20, 0, false, 0},  // 20 s
		{0, 0, false, 0},   // 22 s
	} {
		call(step.answered, partlog.Answered)
		call(step.refused, partlog.Refused)
		at := start.Add(time.Duration(i+1) * telemetry.StoreUseCheckInterval)
		use, due := m.TakeStoreUse(at)
		c.Assert(due, qt.Equals, step.due, qt.Commentf("check %d", i))
		if due {
			c.Assert(use.Calls[0].Answered, qt.Equals, step.answeredSince)
			call(1, partlog.Refused)
			_, due = m.TakeStoreUse(at.Add(telemetry.StoreUseCheckInterval - 1))
			c.Assert(due, qt.IsFalse)
		}
	}
}

// Guards against a line and metrics that grow with the topics that calls for other instances name, and against calls that are left
// out of them.
func TestTopicsAreBounded(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(c)
	const calls = 500
	kinds := []logpace.Kind{logpace.Lease, logpace.TurnEnd, logpace.Reservation, logpace.Background}
	for i := range calls {
		topic := fmt.Sprintf("topic%dx%s", i, strings.Repeat("y", i%100))
		call := partlog.Call{Topic: topic, Name: "append", Outcome: partlog.Answered, Sent: 1}
		m.StoreCall(pacedlog.WithKind(c.Context(), kinds[i%len(kinds)]), call)
	}
	use, due := m.TakeStoreUse(start.Add(10 * time.Second))
	c.Assert(due, qt.IsTrue)
	c.Assert(use.Calls, qt.HasLen, 20) // 16 topics, and the others with each kind
	sum := 0
	for _, r := range use.Calls {
		sum += r.Answered
	}
	c.Assert(sum, qt.Equals, calls)
	w := httptest.NewRecorder()
	m.Handler(nil).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(strings.Count(w.Body.String(), "comfreylink_store_io_bytes_total{"), qt.Equals, 17)

	for i := range calls { // the 16 topics again, with more rows than the line shows
		topic := fmt.Sprintf("topic%dx%s", i%16, strings.Repeat("y", i%16))
		call := partlog.Call{Topic: topic, Name: "append", Outcome: partlog.Refused}
		m.StoreCall(pacedlog.WithKind(c.Context(), kinds[i/16%len(kinds)]), call)
	}
	use, due = m.TakeStoreUse(start.Add(20 * time.Second))
	c.Assert(due, qt.IsTrue)
	c.Assert(use.Calls, qt.HasLen, 24)
	sum = 0
	for _, r := range use.Calls {
		sum += r.Refused
	}
	c.Assert(sum, qt.Equals, calls)
	c.Assert(use.Calls[23].Topic, qt.Equals, "other")
	line, err := json.Marshal(use.Calls)
	c.Assert(err, qt.IsNil)
	c.Assert(len(line) < 4096, qt.IsTrue, qt.Commentf("%d", len(line)))
}
