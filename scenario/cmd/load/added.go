package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/deploy"
)

// addedCommand measures the latency that daemons add to a call, compared with a direct call to the same stand-in.
func addedCommand() *cli.Command {
	return &cli.Command{
		Name:  "added",
		Usage: "measure the time that one and two daemons add to a call",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "calls", Value: 2000},
			&cli.IntFlag{Name: "daemons", Value: 3},
			&cli.DurationFlag{Name: "pause", Value: 10 * time.Millisecond, Usage: "pause between calls, so that the rate of log appends does not limit them"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return added(ctx, c.Int("daemons"), c.Int("calls"), c.Duration("pause"))
		},
	}
}

// added prints the latencies of direct calls and of calls through the daemons.
func added(ctx context.Context, daemons, calls int, pause time.Duration) error {
	f, cleanup, err := startMinimalFleet(ctx, daemons)
	if err != nil {
		return err
	}
	defer cleanup()
	m := &addedRun{fleet: f, calls: calls, pause: pause, caller: f.Callers["large-1"]}
	fmt.Println("call                            P50 us   P95 us   P99 us   (one caller, calls one after the other)")
	if err := m.services(ctx); err != nil {
		return err
	}
	return m.chats(ctx)
}

// startMinimalFleet builds the executables and starts daemons, one engine and one service, with rate limits too high to
// matter. cleanup stops them and deletes their files.
func startMinimalFleet(ctx context.Context, daemons int) (f *deploy.Fleet, cleanup func(), err error) {
	dir, err := os.MkdirTemp("", "comfreylink-load-")
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			_ = os.RemoveAll(dir)
		}
	}()
	if err := cluster.Build(ctx, dir); err != nil {
		return nil, nil, err
	}
	d := deploy.Known["akwaaba"]
	d.Engines, d.Services = 1, 1
	const unlimited = 1e5
	f, stop, err := d.Start(ctx, dir, dir, deploy.Options{Daemons: daemons, Policy: "fair", Speed: 1000, Requests: unlimited})
	if err != nil {
		return nil, nil, err
	}
	return f, func() {
		stop()
		_ = os.RemoveAll(dir)
	}, nil
}

// addedRun is one run of the command.
type addedRun struct {
	fleet  *deploy.Fleet
	caller *caller.Caller
	calls  int           // measured calls of each kind
	pause  time.Duration // before each call
}

// print prints the percentiles of one kind of call, in microseconds.
func (m *addedRun) print(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-30s %8d %8d %8d\n", name, h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99))
}

// time makes calls one after the other and prints their latencies. It first makes a tenth of that number as a warm-up, which
// is not counted.
func (m *addedRun) time(name string, f func(i int) (caller.Answer, error)) error {
	h := newHistogram()
	for i := range m.calls + m.calls/10 {
		time.Sleep(m.pause)
		began := time.Now()
		a, err := f(i)
		if err != nil {
			return err
		}
		if a.Error != nil {
			return fmt.Errorf("%s: %s: %s", name, a.Error.Code, a.Error.Message)
		}
		if i >= m.calls/10 {
			if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
				return err
			}
		}
	}
	m.print(name, h)
	return nil
}

// services measures calls to the service: directly, through a daemon, and through a daemon with a request key.
func (m *addedRun) services(ctx context.Context) error {
	direct := "http://" + m.fleet.Cluster.Process("service-1").Address + "/stock"
	entry := m.fleet.Cluster.Process(m.fleet.Daemons[0]).Address
	route := "http://" + entry + "/services/" + string(m.fleet.Service) + "/stock"
	err := m.time("GET direct", func(int) (caller.Answer, error) {
		return m.caller.Do(ctx, caller.Request{Method: http.MethodGet, URL: direct})
	})
	if err != nil {
		return err
	}
	err = m.time("GET through a daemon", func(int) (caller.Answer, error) {
		return m.caller.Do(ctx, caller.Request{Method: http.MethodGet, URL: route})
	})
	if err != nil {
		return err
	}
	return m.time("POST at most once", func(i int) (caller.Answer, error) {
		return m.caller.Do(ctx, caller.Request{Method: http.MethodPost, URL: route, Key: fmt.Sprintf("added-%d", i), Body: []byte("{}")})
	})
}

// chats measures model calls of programs: through a daemon, split by whether the entry instance owns the program's slot, and
// directly to the engine.
func (m *addedRun) chats(ctx context.Context) error {
	entry := m.fleet.Cluster.Process(m.fleet.Daemons[0]).Address
	same, other := newHistogram(), newHistogram()
	for i := range m.calls {
		time.Sleep(m.pause)
		began := time.Now()
		a, err := m.caller.Chat(ctx, entry, caller.Chat{Program: fmt.Sprintf("added-%d", i), Model: string(m.fleet.Model), Text: "x", Tokens: 1, Deadline: 10 * time.Second})
		if err != nil {
			return err
		}
		if a.Error != nil {
			return fmt.Errorf("chat: %s: %s", a.Error.Code, a.Error.Message)
		}
		h := other
		if a.Owner == a.Entry {
			h = same
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	h := newHistogram()
	direct := m.fleet.Cluster.Process("engine-1").Address
	for i := range m.calls {
		time.Sleep(m.pause)
		began := time.Now()
		if _, err := m.caller.Chat(ctx, direct, caller.Chat{Program: fmt.Sprintf("direct-%d", i), Model: string(m.fleet.Model), Text: "x", Tokens: 1}); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			return err
		}
	}
	m.print("chat direct", h)
	m.print("chat, entry owns the program", same)
	m.print("chat, another daemon owns it", other)
	return nil
}
