package programs_test

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/partlog/partlogtest"
	"github.com/comfreylink/comfreylink/internal/programs"
)

// Guards against a budget that counts as spent because a leader gets a call twice and writes both with one append.
func TestReservationRepeatedInOneAppend(t *testing.T) {
	c := qt.New(t)
	s := programs.New(programs.Config{
		Log: partlogtest.New(), Programs: partlog.Keyspace{Name: "records", Topics: 1, Parts: 1}, WriteInterval: 100 * time.Millisecond,
		Now: time.Now, Logger: zap.NewNop(),
	})
	call := func(program, turn string) (granted int) {
		params, err := json.Marshal(map[string]any{
			"partition": s.Programs.Partitions()[0], "timeoutMs": 1000,
			"reservations": []any{map[string]any{"workspace": "w", "program": program, "turn": turn, "budget": 100, "tokens": 60, "least": 60}},
		})
		c.Check(err, qt.IsNil)
		result, err := s.Methods()["record"](c.Context(), params)
		c.Check(err, qt.IsNil)
		data, err := json.Marshal(result)
		c.Check(err, qt.IsNil)
		var r struct {
			Granted []struct{ Tokens int }
		}
		c.Check(json.Unmarshal(data, &r), qt.IsNil, qt.Commentf("%s", data))
		if len(r.Granted) == 1 {
			granted = r.Granted[0].Tokens
		}
		return granted
	}
	c.Assert(call("q", "t0"), qt.Equals, 60) // what comes soon after this waits for the next append
	var tasks sync.WaitGroup
	var granted [2]int
	for i := range granted {
		tasks.Go(func() { granted[i] = call("p", "t1") })
	}
	tasks.Wait()
	c.Assert(granted, qt.Equals, [2]int{60, 60})
}
