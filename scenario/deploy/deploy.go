// Package deploy starts the users' deployments with stand-ins as targets.
package deploy

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

// Deployment is one of the users' deployments.
type Deployment struct {
	Zones    []ids.Zone
	Model    ids.PoolID
	Engines  int
	Service  ids.PoolID
	Services int
	// small is the number of small workspaces besides the large ones.
	large, small int
}

// Known holds the deployments by name.
var Known = map[string]Deployment{
	"akwaaba":  {Zones: []ids.Zone{"osu", "tema", "madina"}, Model: "design-brain", Engines: 10, Service: "order-desk", Services: 12, large: 2, small: 6},
	"lahtinen": {Zones: []ids.Zone{"fi-south-a", "fi-south-b", "fi-south-c"}, Model: "agent-llm", Engines: 10, Service: "order-app", Services: 20, large: 2, small: 6},
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

// Workspaces returns the workspaces with their parts of the load.
func (d Deployment) Workspaces() (all []workload.Workspace) {
	for i := range d.large {
		all = append(all, workload.Workspace{ID: ids.WorkspaceID(fmt.Sprintf("large-%d", i+1)), Share: largeShare, Weight: largeShare})
	}
	for i := range d.small {
		all = append(all, workload.Workspace{ID: ids.WorkspaceID(fmt.Sprintf("small-%d", i+1)), Share: smallShare, Weight: smallShare})
	}
	return all
}

// Fleet is a started deployment.
type Fleet struct {
	Deployment
	Cluster *cluster.Cluster
	// Daemons are the names of the daemons' processes.
	Daemons []string
	// Callers have the workspaces' keys.
	Callers map[ids.WorkspaceID]*caller.Caller
}

// Options configure a start.
type Options struct {
	Daemons int
	Policy  string
	// Speed divides the durations of engines.
	Speed float64
	// Requests is the number of requests a second in all that the workspaces' rates are made for.
	Requests float64
}

// Start brings up a deployment and waits until every daemon serves.
func (d Deployment) Start(ctx context.Context, dir, bin string, o Options) (f *Fleet, cleanup func(), err error) {
	c, cleanup, err := cluster.New(dir, bin)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			cleanup()
		}
	}()
	f = &Fleet{Deployment: d, Cluster: c, Callers: map[ids.WorkspaceID]*caller.Caller{}}
	if err = f.platform(o); err != nil {
		return nil, nil, err
	}
	if err = f.publish(ctx, dir, o); err != nil {
		return nil, nil, err
	}
	for i := range o.Daemons {
		if err = f.daemon(i, o); err != nil {
			return nil, nil, err
		}
	}
	return f, cleanup, f.await(ctx)
}

func (f *Fleet) platform(o Options) error {
	if _, err := f.Cluster.Standin("log", "log"); err != nil {
		return err
	}
	if _, err := f.Cluster.Standin("list", "list"); err != nil {
		return err
	}
	for i := range f.Engines {
		_, err := f.Cluster.Target(fmt.Sprintf("engine-%d", i+1), "engine", f.Model, f.Zones[i%len(f.Zones)],
			"--speed", fmt.Sprint(o.Speed), "--slots", fmt.Sprint(engineSlots), "--cache-tokens", fmt.Sprint(engineCacheTokens))
		if err != nil {
			return err
		}
	}
	for i := range f.Services {
		if _, err := f.Cluster.Target(fmt.Sprintf("service-%d", i+1), "service", f.Service, f.Zones[i%len(f.Zones)]); err != nil {
			return err
		}
	}
	return nil
}

// rateHeadroom is how far above its part of the load a workspace's rate is, so that only the noisy one exceeds its own.
const rateHeadroom = 2

func (f *Fleet) publish(ctx context.Context, dir string, o Options) error {
	log := f.Cluster.Process("log").Address
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
`, f.Model, f.Model, engineSlots, f.Service, f.Service)
	if err := f.publishFile(ctx, dir, log, "template.ini", template); err != nil {
		return err
	}
	total := 0.0
	for _, w := range f.Workspaces() {
		total += w.Share
	}
	for _, w := range f.Workspaces() {
		rate := max(1, rateHeadroom*o.Requests*w.Share/total)
		text := fmt.Sprintf("[workspace]\nname = %s\ntemplates = load\nrate = %.1f\nburst = %d\nbudget = %d\nweight = %d\n",
			w.ID, rate, int(2*rate)+1, budget, w.Weight)
		if err := f.publishFile(ctx, dir, log, string(w.ID)+".ini", text); err != nil {
			return err
		}
		key, err := f.Cluster.Command(ctx, "key", "give", "--label", "load", "--log", log, string(w.ID))
		if err != nil {
			return err
		}
		transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096}
		f.Callers[w.ID] = &caller.Caller{Key: strings.TrimSpace(key), HTTP: &http.Client{Transport: transport}}
	}
	return nil
}

func (f *Fleet) publishFile(ctx context.Context, dir, log, name, text string) error {
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	_, err := f.Cluster.Command(ctx, "publish", "--expect-new", "--log", log, file)
	return err
}

func (f *Fleet) daemon(i int, o Options) error {
	id := fmt.Sprintf("entry-%d", i+1)
	_, err := f.Cluster.Daemon(cluster.DaemonOptions{
		ID:   ids.InstanceID(id),
		Zone: f.Zones[i%len(f.Zones)],
		Settings: map[string]string{
			"dispatch": "policy = " + o.Policy,
			"observe":  "logLevel = warn",
		},
	})
	f.Daemons = append(f.Daemons, id)
	return err
}

// await waits until every daemon answers a program's call, so that slots are owned before the measurement.
func (f *Fleet) await(ctx context.Context) error {
	const settle = 5 * time.Second
	w := f.Workspaces()[0].ID
	for i := range 64 {
		for ctx.Err() == nil {
			a, err := f.Callers[w].Chat(ctx, f.Cluster.Process(f.Daemons[i%len(f.Daemons)]).Address, caller.Chat{
				Program: fmt.Sprintf("warm-%d", i), Model: string(f.Model), Text: "warm", Tokens: 1, Deadline: 20 * time.Second,
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
