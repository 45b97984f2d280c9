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
		&cli.FloatFlag{Name: "speed", Value: 4, Usage: "factor that divides the durations of engines and tools"},
		&cli.FloatFlag{Name: "rate", Value: 8, Usage: "programs that start per second"},
		&cli.DurationFlag{Name: "duration", Value: 30 * time.Second},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.StringFlag{Name: "noisy", Usage: "workspace that sends five times its share"},
		&cli.StringFlag{Name: "fault", Usage: "none, killDaemon, killTarget, slowTarget or zone; injected after a third of the duration"},
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
			return writeReport(c.String("out"), []result{r})
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
				fmt.Println(r.row())
				all = append(all, r)
			}
			return writeReport(c.String("out"), all)
		},
	}
}

// options holds the options of a measurement.
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

// callsPerProgram is the assumed mean number of requests of a program. The workspaces' rate limits are computed from it.
const callsPerProgram = 8

// noisyFactor is the factor by which the noisy workspace exceeds its share.
const noisyFactor = 5

// measure starts a deployment with the scheduling policy, runs the generated programs against it and returns the result.
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
	run := &runner{fleet: f, results: newRecorder(o, policy), began: time.Now()}
	var wg sync.WaitGroup
	waitForFault := run.injectFault(ctx, o)
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
			run.runProgram(ctx, p)
		}()
	}
	wg.Wait()
	waitForFault()
	return run.results.result(time.Since(run.began)), nil
}

// runner runs the programs of one measurement.
type runner struct {
	fleet   *deploy.Fleet
	results *recorder
	began   time.Time
	mu      sync.Mutex
	dead    map[string]bool // daemons that the load balancer no longer picks
}

// pickEntry returns the address of a random daemon. Like the platform's load balancer, it still picks a killed daemon until
// balancerDelay has passed.
func (r *runner) pickEntry(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		name := r.fleet.Daemons[random.IntN(len(r.fleet.Daemons))]
		if !r.dead[name] {
			return r.fleet.Cluster.Process(name).Address
		}
	}
}

// callDeadline is the deadline of each call. A program fails if one of its calls exceeds it.
const callDeadline = 60 * time.Second

// runProgram runs one program, records whether it finished, and deletes it afterwards.
func (r *runner) runProgram(ctx context.Context, p workload.Program) {
	random := rand.New(rand.NewPCG(uint64(p.Start), uint64(len(p.Turns))))
	began := time.Now()
	for i, t := range p.Turns {
		if !r.beforeTurn(ctx, random, p, i, t) {
			r.results.programFailed(p.Workspace)
			return
		}
		if !r.sendTurn(ctx, random, p, p.ID, fmt.Sprintf("t%d", i), t) {
			r.results.programFailed(p.Workspace)
			return
		}
	}
	r.results.programFinished(p.Workspace, time.Since(began))
	c := r.fleet.Callers[p.Workspace]
	_, _ = c.Do(ctx, caller.Request{Method: http.MethodDelete, URL: "http://" + r.pickEntry(random) + "/v1/programs/" + p.ID})
}

// beforeTurn runs the tool and the sub-agents that a turn depends on and reports whether all of them succeeded.
func (r *runner) beforeTurn(ctx context.Context, random *rand.Rand, p workload.Program, i int, t workload.Turn) bool {
	time.Sleep(t.Pause)
	if t.Tool && !r.callTool(ctx, random, p, i) {
		return false
	}
	var wg sync.WaitGroup
	ok := make([]bool, len(t.SubAgents))
	for k, s := range t.SubAgents {
		subRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%s/s%d-%d", p.ID, i, k)
			ok[k] = r.sendTurn(ctx, subRandom, p, id, "t0", s)
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

// callTool makes the tool call before turn i, which is not idempotent, and reports whether it succeeded.
func (r *runner) callTool(ctx context.Context, random *rand.Rand, p workload.Program, i int) bool {
	c := r.fleet.Callers[p.Workspace]
	return r.sendWithRetries(ctx, p, "tool", func() (caller.Answer, error) {
		return c.Do(ctx, caller.Request{
			Method: http.MethodPost, URL: "http://" + r.pickEntry(random) + "/services/" + string(r.fleet.Service) + "/orders",
			Program: p.ID, Key: fmt.Sprintf("%s-tool-%d", p.ID, i), Deadline: callDeadline, Body: []byte(`{}`),
		})
	})
}

// sendTurn makes the model call of a turn and reports whether it succeeded. The id is that of the program or of a sub-agent.
func (r *runner) sendTurn(ctx context.Context, random *rand.Rand, p workload.Program, id, key string, t workload.Turn) bool {
	c := r.fleet.Callers[p.Workspace]
	text := strings.Repeat("word ", t.PromptTokens*4/5+1)
	return r.sendWithRetries(ctx, p, "chat", func() (caller.Answer, error) {
		return c.Chat(ctx, r.pickEntry(random), caller.Chat{
			Program: id, Key: id + "-" + key, Model: string(r.fleet.Model), Text: text, Tokens: t.AnswerTokens, Stream: true, Deadline: callDeadline,
		})
	})
}

// maxAttempts limits how many times a caller sends one request.
const maxAttempts = 5

// sendWithRetries sends a request, and sends it again with the same key while it is refused with a retry delay or its
// connection breaks. It reports whether the request succeeded.
func (r *runner) sendWithRetries(ctx context.Context, p workload.Program, kind string, f func() (caller.Answer, error)) bool {
	for range maxAttempts {
		a, err := f()
		r.results.requestEnded(p.Workspace, kind, a, err)
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
