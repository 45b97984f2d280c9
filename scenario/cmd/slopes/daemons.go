package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// deployment holds the sizes and the load of one run with real daemons.
type deployment struct {
	daemons, targets, slots, workspaces, tokens int
	stream                                      bool
	requests                                    float64       // per second, to all daemons together
	warm, measured                              time.Duration // warm-up, and the time that is measured after it
}

// daemonsCommand measures real daemons on the loopback interface under a steady load.
func daemonsCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemons",
		Usage: "processor time, memory and bytes of real daemons, for each combination of the sizes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "daemons", Value: []int{4}},
			&cli.IntSliceFlag{Name: "targets", Value: []int{2}},
			&cli.IntSliceFlag{Name: "slots", Value: []int{64}},
			&cli.IntSliceFlag{Name: "workspaces", Value: []int{1}},
			&cli.IntSliceFlag{Name: "tokens", Value: []int{16}, Usage: "tokens that each request generates"},
			&cli.BoolFlag{Name: "stream", Usage: "request streamed answers"},
			&cli.IntSliceFlag{Name: "requests", Value: []int{0}, Usage: "requests per second, to all daemons together"},
			&cli.DurationFlag{Name: "warm", Value: 12 * time.Second},
			&cli.DurationFlag{Name: "measured", Value: 15 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			dir, err := os.MkdirTemp("", "comfreylink-slopes-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			if err := cluster.Build(ctx, dir); err != nil {
				return err
			}
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, header)
			for _, d := range combinations(c) {
				if err := d.measure(ctx, dir, w); err != nil {
					return err
				}
			}
			return w.Flush()
		},
	}
}

// combinations returns a deployment for each combination of the sizes.
func combinations(c *cli.Command) (all []deployment) {
	all = []deployment{{warm: c.Duration("warm"), measured: c.Duration("measured"), stream: c.Bool("stream")}}
	for _, size := range []struct {
		flag string
		set  func(d *deployment, n int)
	}{
		{"daemons", func(d *deployment, n int) { d.daemons = n }},
		{"targets", func(d *deployment, n int) { d.targets = n }},
		{"slots", func(d *deployment, n int) { d.slots = n }},
		{"workspaces", func(d *deployment, n int) { d.workspaces = n }},
		{"requests", func(d *deployment, n int) { d.requests = float64(n) }},
		{"tokens", func(d *deployment, n int) { d.tokens = n }},
	} {
		var next []deployment
		for _, d := range all {
			for _, n := range c.IntSlice(size.flag) {
				size.set(&d, n)
				next = append(next, d)
			}
		}
		all = next
	}
	return all
}

// model and poolID name the only model and the only pool of the template.
const model, poolID = "m", ids.PoolID("pool-0")

// start starts the platform's stand-ins, the engines and the daemons, and returns a caller with a key for each workspace.
func (d deployment) start(ctx context.Context, bin string) (c *cluster.Cluster, callers []*caller.Caller, cleanup func(), err error) {
	dir, err := os.MkdirTemp(bin, "run-")
	if err != nil {
		return nil, nil, nil, err
	}
	c, cleanup, err = cluster.New(dir, bin)
	if err != nil {
		return nil, nil, nil, err
	}
	defer func() {
		if err != nil {
			cleanup()
		}
	}()
	for _, kind := range []string{"log", "list"} {
		if _, err = c.Standin(kind, kind); err != nil {
			return nil, nil, nil, err
		}
	}
	for i := range d.targets {
		if _, err = c.Target(fmt.Sprintf("engine-%d", i), "engine", poolID, "osu", "--speed", "100", "--slots", "8"); err != nil {
			return nil, nil, nil, err
		}
	}
	if callers, err = d.publish(ctx, c); err != nil {
		return nil, nil, nil, err
	}
	for i := range d.daemons {
		_, err = c.Daemon(cluster.DaemonOptions{ID: daemonID(i), Zone: "osu", Settings: map[string]string{
			"ownership": fmt.Sprintf("slots = %d", d.slots),
			"observe":   "logLevel = warn",
		}})
		if err != nil {
			return nil, nil, nil, err
		}
	}
	return c, callers, cleanup, nil
}

func daemonID(i int) ids.InstanceID { return ids.InstanceID(fmt.Sprintf("entry-%d", i)) }

// publish publishes the template and the workspaces and returns a caller for each workspace.
func (d deployment) publish(ctx context.Context, c *cluster.Cluster) (callers []*caller.Caller, err error) {
	log := c.Process("log").Address
	put := func(name, text string) error {
		file := filepath.Join(c.Dir, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return err
		}
		_, err := c.Command(ctx, "publish", "--expect-new", "--log", log, file)
		return err
	}
	err = put("template.ini", fmt.Sprintf("[template]\nname = t\n[program]\nmaxTurns = 230\nidleTimeout = 15m\ndefaultDeadline = 1m\n"+
		"[model %s]\npool = %s\nmaxInFlight = 8\ndefaultMaxTokens = 64\n", model, poolID))
	if err != nil {
		return nil, err
	}
	for i := range d.workspaces {
		id := fmt.Sprintf("w%d", i)
		if err := put(id+".ini", fmt.Sprintf("[workspace]\nname = %s\ntemplates = t\nrate = 1000\nburst = 1000\nbudget = 2000000\nweight = 1\n", id)); err != nil {
			return nil, err
		}
		key, err := c.Command(ctx, "key", "give", "--label", "slopes", "--log", log, id)
		if err != nil {
			return nil, err
		}
		callers = append(callers, &caller.Caller{Key: strings.TrimSpace(key), HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}})
	}
	return callers, nil
}

// turnsPerProgram is the number of model calls of each program.
const turnsPerProgram = 4

// sendLoad starts programs at a constant rate until ctx is canceled and waits for those in progress. It returns the numbers
// of requests that succeeded and that failed.
func (d deployment) sendLoad(ctx context.Context, c *cluster.Cluster, callers []*caller.Caller) (succeeded, failed int) {
	if d.requests == 0 {
		<-ctx.Done()
		return 0, 0
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Duration(float64(time.Second) * turnsPerProgram / d.requests))
	defer ticker.Stop()
	defer wg.Wait()
	for p := 0; ; p++ {
		select {
		case <-ctx.Done():
			return succeeded, failed
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range turnsPerProgram {
				entry := c.Process(string(daemonID((p + i) % d.daemons))).Address
				a, err := callers[p%len(callers)].Chat(context.WithoutCancel(ctx), entry, caller.Chat{
					Program: fmt.Sprintf("p%d", p), Key: fmt.Sprintf("p%d-%d", p, i), Model: model, Text: strings.Repeat("word ", 100), Tokens: d.tokens, Stream: d.stream, Deadline: 20 * time.Second,
				})
				mu.Lock()
				if err == nil && a.Error == nil {
					succeeded++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
}
