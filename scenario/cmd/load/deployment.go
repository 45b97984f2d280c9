package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/workload"
)

// deployment is one of the two users' deployments.
type deployment struct {
	name     string
	zones    []ids.Zone
	model    ids.PoolID
	engines  int
	service  ids.PoolID
	services int
	// small is the number of small workspaces beside the large ones.
	large, small int
}

var deployments = map[string]deployment{
	"akwaaba":  {name: "akwaaba", zones: []ids.Zone{"osu", "tema", "madina"}, model: "design-brain", engines: 10, service: "order-desk", services: 12, large: 2, small: 6},
	"lahtinen": {name: "lahtinen", zones: []ids.Zone{"fi-south-a", "fi-south-b", "fi-south-c"}, model: "agent-llm", engines: 10, service: "order-app", services: 20, large: 2, small: 6},
}

// Engines of the load runs: small batches and caches keep the number of streamed events within what one machine can
// carry, and make the caches too small for all programs in progress.
const (
	engineSlots       = 8
	engineCacheTokens = 40_000
	largeShare        = 4
	smallShare        = 1
	budget            = 2_000_000
)

func (d deployment) workspaces() (all []workload.Workspace) {
	for i := range d.large {
		all = append(all, workload.Workspace{ID: ids.WorkspaceID(fmt.Sprintf("large-%d", i+1)), Share: largeShare, Weight: largeShare})
	}
	for i := range d.small {
		all = append(all, workload.Workspace{ID: ids.WorkspaceID(fmt.Sprintf("small-%d", i+1)), Share: smallShare, Weight: smallShare})
	}
	return all
}

// fleet is a started deployment.
type fleet struct {
	deployment
	cluster *cluster.Cluster
	daemons []string
	callers map[ids.WorkspaceID]*caller.Caller
}

type fleetOptions struct {
	daemons int
	policy  string
	speed   float64
	// requests is the number of requests a second in all that the workspaces' rates are made for.
	requests float64
}

// start brings up a deployment and waits until every daemon serves.
func (d deployment) start(ctx context.Context, dir, bin string, o fleetOptions) (f *fleet, cleanup func(), err error) {
	c, cleanup, err := cluster.New(dir, bin)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			cleanup()
		}
	}()
	f = &fleet{deployment: d, cluster: c, callers: map[ids.WorkspaceID]*caller.Caller{}}
	if err = f.platform(o); err != nil {
		return nil, nil, err
	}
	if err = f.publish(ctx, dir, o); err != nil {
		return nil, nil, err
	}
	for i := range o.daemons {
		if err = f.daemon(i, o); err != nil {
			return nil, nil, err
		}
	}
	return f, cleanup, f.await(ctx)
}

func (f *fleet) platform(o fleetOptions) error {
	if _, err := f.cluster.Standin("log", "log"); err != nil {
		return err
	}
	if _, err := f.cluster.Standin("list", "list"); err != nil {
		return err
	}
	for i := range f.engines {
		_, err := f.cluster.Target(fmt.Sprintf("engine-%d", i+1), "engine", f.model, f.zones[i%len(f.zones)],
			"--speed", fmt.Sprint(o.speed), "--slots", fmt.Sprint(engineSlots), "--cache-tokens", fmt.Sprint(engineCacheTokens))
		if err != nil {
			return err
		}
	}
	for i := range f.services {
		if _, err := f.cluster.Target(fmt.Sprintf("service-%d", i+1), "service", f.service, f.zones[i%len(f.zones)]); err != nil {
			return err
		}
	}
	return nil
}

// rateHeadroom is how far above its part of the load a workspace's rate is, so that only the noisy one exceeds its own.
const rateHeadroom = 2

func (f *fleet) publish(ctx context.Context, dir string, o fleetOptions) error {
	log := f.cluster.Process("log").Address
	template := fmt.Sprintf(`[template]
name = load
[program]
maxTurns = 230
idleTimeout = 15m
defaultDeadline = 1m
[model %s]
pool = %s
maxInFlight = %d
defaultMaxTokens = 256
[service %s]
pool = %s
repeatableMethods = GET
deadline = 10s
`, f.model, f.model, engineSlots, f.service, f.service)
	if err := f.publishFile(ctx, dir, log, "template.ini", template); err != nil {
		return err
	}
	total := 0.0
	for _, w := range f.workspaces() {
		total += w.Share
	}
	for _, w := range f.workspaces() {
		rate := max(1, rateHeadroom*o.requests*w.Share/total)
		text := fmt.Sprintf("[workspace]\nname = %s\ntemplates = load\nrate = %.1f\nburst = %d\nbudget = %d\nweight = %d\n",
			w.ID, rate, int(2*rate)+1, budget, w.Weight)
		if err := f.publishFile(ctx, dir, log, string(w.ID)+".ini", text); err != nil {
			return err
		}
		key, err := f.cluster.Command(ctx, "key", "give", "--label", "load", "--log", log, string(w.ID))
		if err != nil {
			return err
		}
		transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096}
		f.callers[w.ID] = &caller.Caller{Key: strings.TrimSpace(key), HTTP: &http.Client{Transport: transport}}
	}
	return nil
}

func (f *fleet) publishFile(ctx context.Context, dir, log, name, text string) error {
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	_, err := f.cluster.Command(ctx, "publish", "--expect-new", "--log", log, file)
	return err
}

func (f *fleet) daemon(i int, o fleetOptions) error {
	id := fmt.Sprintf("entry-%d", i+1)
	_, err := f.cluster.Daemon(cluster.DaemonOptions{
		ID:   ids.InstanceID(id),
		Zone: f.zones[i%len(f.zones)],
		Settings: map[string]string{
			"dispatch": "policy = " + o.policy,
			"observe":  "logLevel = warn",
		},
	})
	f.daemons = append(f.daemons, id)
	return err
}

// await waits until every daemon answers a program's call, so that slots are owned before the measurement.
func (f *fleet) await(ctx context.Context) error {
	const settle = 5 * time.Second
	w := f.workspaces()[0].ID
	for i := range 64 {
		for ctx.Err() == nil {
			a, err := f.callers[w].Chat(ctx, f.cluster.Process(f.daemons[i%len(f.daemons)]).Address, caller.Chat{
				Program: fmt.Sprintf("warm-%d", i), Model: string(f.model), Text: "warm", Tokens: 1, Deadline: 20 * time.Second,
			})
			if err == nil && a.Error == nil {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(settle)
	return ctx.Err()
}
