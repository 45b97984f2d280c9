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

// deployment is one run with real daemons.
type deployment struct {
	daemons, targets, slots, workspaces int
	requests                            float64 // a second, to all daemons
	warm, measured                      time.Duration
}

// daemonsCommand measures real daemons on the loopback interface.
func daemonsCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemons",
		Usage: "processor time, memory and bytes of real daemons, for each combination of the sizes",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "daemons", Value: []int{4}},
			&cli.IntSliceFlag{Name: "targets", Value: []int{2}},
			&cli.IntSliceFlag{Name: "slots", Value: []int{64}},
			&cli.IntSliceFlag{Name: "workspaces", Value: []int{1}},
			&cli.FloatSliceFlag{Name: "requests", Value: []float64{0}, Usage: "requests a second in all"},
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

func combinations(c *cli.Command) (all []deployment) {
	for _, daemons := range c.IntSlice("daemons") {
		for _, targets := range c.IntSlice("targets") {
			for _, slots := range c.IntSlice("slots") {
				for _, workspaces := range c.IntSlice("workspaces") {
					for _, requests := range c.FloatSlice("requests") {
						all = append(all, deployment{
							daemons: daemons, targets: targets, slots: slots, workspaces: workspaces, requests: requests,
							warm: c.Duration("warm"), measured: c.Duration("measured"),
						})
					}
				}
			}
		}
	}
	return all
}

const model, pool0 = "m", ids.PoolID("pool-0")

// start brings up the platform and the daemons, and gives each workspace a key.
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
		if _, err = c.Target(fmt.Sprintf("engine-%d", i), "engine", pool0, "osu", "--speed", "100", "--slots", "8"); err != nil {
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
		"[model %s]\npool = %s\nmaxInFlight = 8\ndefaultMaxTokens = 64\n", model, pool0))
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

// turnsEach is the number of calls of each program of the load.
const turnsEach = 4

// load sends requests at an even pace until ctx ends, and returns how many were answered and how many were not.
func (d deployment) load(ctx context.Context, c *cluster.Cluster, callers []*caller.Caller) (answered, failed int) {
	if d.requests == 0 {
		<-ctx.Done()
		return 0, 0
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Duration(float64(time.Second) * turnsEach / d.requests))
	defer ticker.Stop()
	defer wg.Wait()
	for p := 0; ; p++ {
		select {
		case <-ctx.Done():
			return answered, failed
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range turnsEach {
				entry := c.Process(string(daemonID((p + i) % d.daemons))).Address
				a, err := callers[p%len(callers)].Chat(context.WithoutCancel(ctx), entry, caller.Chat{
					Program: fmt.Sprintf("p%d", p), Key: fmt.Sprintf("p%d-%d", p, i), Model: model, Text: strings.Repeat("word ", 100), Tokens: 16, Deadline: 20 * time.Second,
				})
				mu.Lock()
				if err == nil && a.Error == nil {
					answered++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
}
