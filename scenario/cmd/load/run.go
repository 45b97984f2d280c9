package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/deploy"
	"github.com/comfreylink/comfreylink/scenario/workload"
)

func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Value: "akwaaba", Usage: "akwaaba or lahtinen"},
		&cli.IntFlag{Name: "daemons", Value: 16},
		&cli.FloatFlag{Name: "speed", Value: 4, Usage: "divides the durations of engines and tools"},
		&cli.FloatFlag{Name: "rate", Value: 8, Usage: "programs that start in a second"},
		&cli.DurationFlag{Name: "duration", Value: 30 * time.Second},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.StringFlag{Name: "noisy", Usage: "workspace that sends five times its share"},
		&cli.StringFlag{Name: "fault", Usage: "none, killDaemon, killTarget, slowTarget or zone, a third into the run"},
		&cli.StringFlag{Name: "out", Value: "out", Usage: "directory of the results"},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "measure one policy",
		Flags: append(runFlags(), &cli.StringFlag{Name: "policy", Value: "fair"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := measure(ctx, optionsOf(c), c.String("policy"))
			if err != nil {
				return err
			}
			return report(c.String("out"), []result{r})
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure several policies with the same programs, one after the other",
		Flags: append(runFlags(), &cli.StringSliceFlag{Name: "policy", Value: []string{"roundRobin", "leastInFlight", "sticky", "fair"}}),
		Action: func(ctx context.Context, c *cli.Command) error {
			var all []result
			for _, p := range c.StringSlice("policy") {
				r, err := measure(ctx, optionsOf(c), p)
				if err != nil {
					return err
				}
				fmt.Println(r.line())
				all = append(all, r)
			}
			return report(c.String("out"), all)
		},
	}
}

// options of a measurement.
type options struct {
	Deployment string        `json:"deployment"`
	Daemons    int           `json:"daemons"`
	Speed      float64       `json:"speed"`
	Rate       float64       `json:"programsPerSecond"`
	Duration   time.Duration `json:"durationNs"`
	Seed       uint64        `json:"seed"`
	Noisy      string        `json:"noisy,omitempty"`
	Fault      string        `json:"fault,omitempty"`
}

func optionsOf(c *cli.Command) options {
	return options{
		Deployment: c.String("deployment"), Daemons: c.Int("daemons"), Speed: c.Float("speed"), Rate: c.Float("rate"),
		Duration: c.Duration("duration"), Seed: c.Uint64("seed"), Noisy: c.String("noisy"), Fault: c.String("fault"),
	}
}

// callsPerProgram is the mean number of requests of a program, from which the workspaces' rates are made.
const callsPerProgram = 8

const noisyFactor = 5

// measure starts a deployment, sends it the programs, and collects what happened.
func measure(ctx context.Context, o options, policy string) (r result, err error) {
	d, ok := deploy.Known[o.Deployment]
	if !ok {
		return r, fmt.Errorf("unknown deployment %q", o.Deployment)
	}
	dir, err := os.MkdirTemp("", "comfreylink-load-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	if err := cluster.Build(ctx, dir); err != nil {
		return r, err
	}
	f, cleanup, err := d.Start(ctx, dir, dir, deploy.Options{Daemons: o.Daemons, Policy: policy, Speed: o.Speed, Requests: callsPerProgram * o.Rate})
	if err != nil {
		return r, err
	}
	defer cleanup()
	programs := workload.Generate(workload.Options{
		Seed: o.Seed, Rate: o.Rate, Duration: o.Duration, Workspaces: d.Workspaces(),
		Noisy: workspaceID(o.Noisy), NoisyFactor: noisyFactor, Speed: o.Speed,
	})
	run := &runner{fleet: f, record: newRecord(o, policy), began: time.Now()}
	var wg sync.WaitGroup
	stopFault := run.injectFault(ctx, o)
	for _, p := range programs {
		wait := time.Until(run.began.Add(p.Start))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return r, ctx.Err()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			run.program(ctx, p)
		}()
	}
	wg.Wait()
	stopFault()
	return run.record.result(time.Since(run.began)), nil
}

type runner struct {
	fleet  *deploy.Fleet
	record *recorder
	began  time.Time
	mu     sync.Mutex
	dead   map[string]bool
}

// entry picks a daemon as the platform's balancer does; it notices a dead one after a while.
func (r *runner) entry(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		name := r.fleet.Daemons[random.IntN(len(r.fleet.Daemons))]
		if !r.dead[name] {
			return r.fleet.Cluster.Process(name).Address
		}
	}
}

// programDeadline bounds each call; a program that waits longer has failed.
const programDeadline = 60 * time.Second

// program runs one program and records it.
func (r *runner) program(ctx context.Context, p workload.Program) {
	random := rand.New(rand.NewPCG(uint64(p.Start), uint64(len(p.Turns))))
	began := time.Now()
	for i, t := range p.Turns {
		if !r.before(ctx, random, p, i, t) {
			r.record.failed(p.Workspace)
			return
		}
		if !r.turn(ctx, random, p, p.ID, fmt.Sprintf("t%d", i), t) {
			r.record.failed(p.Workspace)
			return
		}
	}
	r.record.finished(p.Workspace, time.Since(began))
	c := r.fleet.Callers[p.Workspace]
	_, _ = c.Do(ctx, caller.Request{Method: http.MethodDelete, URL: "http://" + r.entry(random) + "/v1/programs/" + p.ID})
}

// before runs the tool and the sub-agents that a turn depends on.
func (r *runner) before(ctx context.Context, random *rand.Rand, p workload.Program, i int, t workload.Turn) bool {
	time.Sleep(t.Pause)
	if t.Tool && !r.tool(ctx, random, p, i) {
		return false
	}
	var wg sync.WaitGroup
	ok := make([]bool, len(t.SubAgents))
	for k, s := range t.SubAgents {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%s/s%d-%d", p.ID, i, k)
			ok[k] = r.turn(ctx, own, p, id, "t0", s)
		}()
	}
	wg.Wait()
	for _, o := range ok {
		if !o {
			return false
		}
	}
	return true
}

func (r *runner) tool(ctx context.Context, random *rand.Rand, p workload.Program, i int) bool {
	c := r.fleet.Callers[p.Workspace]
	return r.repeat(ctx, p, "tool", func() (caller.Answer, error) {
		return c.Do(ctx, caller.Request{
			Method: http.MethodPost, URL: "http://" + r.entry(random) + "/services/" + string(r.fleet.Service) + "/orders",
			Program: p.ID, Key: fmt.Sprintf("%s-tool-%d", p.ID, i), Deadline: programDeadline, Body: []byte(`{}`),
		})
	})
}

func (r *runner) turn(ctx context.Context, random *rand.Rand, p workload.Program, id, key string, t workload.Turn) bool {
	c := r.fleet.Callers[p.Workspace]
	text := strings.Repeat("word ", t.PromptTokens*4/5+1)
	return r.repeat(ctx, p, "chat", func() (caller.Answer, error) {
		return c.Chat(ctx, r.entry(random), caller.Chat{
			Program: id, Key: id + "-" + key, Model: string(r.fleet.Model), Text: text, Tokens: t.AnswerTokens, Stream: true, Deadline: programDeadline,
		})
	})
}

// maxRepeats bounds how often a caller repeats one request.
const maxRepeats = 5

// repeat sends a request again, with its key, while it is refused with a time to retry or its connection breaks.
func (r *runner) repeat(ctx context.Context, p workload.Program, kind string, f func() (caller.Answer, error)) bool {
	for range maxRepeats {
		a, err := f()
		r.record.answered(p.Workspace, kind, a, err)
		switch {
		case err != nil:
			time.Sleep(100 * time.Millisecond)
		case a.Error == nil:
			return true
		case a.Error.RetryMs == 0:
			return false
		default:
			time.Sleep(time.Duration(a.Error.RetryMs) * time.Millisecond)
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}
