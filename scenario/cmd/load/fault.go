package main

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

func workspaceID(s string) ids.WorkspaceID { return ids.WorkspaceID(s) }

// balancerDelay is the simulated time that the platform's load balancer and instance list take to drop a dead process.
const balancerDelay = 2 * time.Second

// injectFault injects the fault of the options when a third of the run's duration has passed. The returned function blocks
// until that is done or ctx is canceled.
func (r *runner) injectFault(ctx context.Context, o options) (wait func()) {
	r.dead = map[string]bool{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if o.Fault == "" || o.Fault == "none" {
			return
		}
		select {
		case <-time.After(o.Duration / 3):
		case <-ctx.Done():
			return
		}
		if err := r.applyFault(o.Fault); err != nil {
			fmt.Println("fault:", err)
		}
	}()
	return func() { <-done }
}

// applyFault injects one fault at once. The fault "zone" kills the daemons and engines of the first zone.
func (r *runner) applyFault(kind string) error {
	c := r.fleet.Cluster
	switch kind {
	case "killDaemon":
		return r.killDaemon("entry-2")
	case "killTarget":
		if err := c.Kill("engine-1"); err != nil {
			return err
		}
		time.Sleep(balancerDelay)
		return c.Unregister("engine-1")
	case "slowTarget":
		return c.Fault("engine-1", slowFault{DelayMs: slowDelay.Milliseconds()})
	case "zone":
		for i, d := range r.fleet.Daemons {
			if i%len(r.fleet.Zones) == 0 {
				if err := r.killDaemon(d); err != nil {
					return err
				}
			}
		}
		return r.killZoneTargets()
	default:
		return fmt.Errorf("unknown fault %q", kind)
	}
}

// slowFault is the setting of a stand-in that delays its answers.
type slowFault struct {
	DelayMs int64 `json:"delayMs"`
}

// slowDelay is the delay of each answer of a slow target.
const slowDelay = 500 * time.Millisecond

// killDaemon kills a daemon. Callers and the instance list drop it after balancerDelay.
func (r *runner) killDaemon(name string) error {
	if err := r.fleet.Cluster.Kill(name); err != nil {
		return err
	}
	time.AfterFunc(balancerDelay, func() {
		r.mu.Lock()
		r.dead[name] = true
		r.mu.Unlock()
		_ = r.fleet.Cluster.Unregister(name)
	})
	return nil
}

// killZoneTargets kills the engines of the first zone and removes them from the instance list.
func (r *runner) killZoneTargets() error {
	for i := range r.fleet.Engines {
		if i%len(r.fleet.Zones) != 0 {
			continue
		}
		name := fmt.Sprintf("engine-%d", i+1)
		if err := r.fleet.Cluster.Kill(name); err != nil {
			return err
		}
		if err := r.fleet.Cluster.Unregister(name); err != nil {
			return err
		}
	}
	return nil
}
