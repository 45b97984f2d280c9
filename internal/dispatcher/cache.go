package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/engine"
	"github.com/comfreylink/comfreylink/internal/targets"
	"github.com/comfreylink/comfreylink/pkg/dispatch"
	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/prefix"
)

const (
	// cacheInterval is how often the engines' cache events and lists are read.
	cacheInterval = 2 * time.Second
	cacheTimeout  = 2 * time.Second
	// releaseGrace is how long a prefix must be without a program before it is released. With it, the memory of a program
	// that is gone is free after at most releaseGrace and two intervals, while its engine answers.
	releaseGrace = 10 * time.Second
)

// Engines reads and frees the prefix caches of engines.
type Engines interface {
	Load(ctx context.Context, address string) (l engine.Load, err error)
	CacheEvents(ctx context.Context, address string, from int64) (p engine.CacheEventPage, err error)
	Cache(ctx context.Context, address string) (l []engine.CacheEntry, err error)
	Evict(ctx context.Context, address, id string) (err error)
}

// ProgramID names a program of a workspace.
type ProgramID struct {
	Workspace ids.WorkspaceID `json:"workspace"`
	Program   ids.ProgramID   `json:"program"`
}

// Programs asks the owners of programs which of them exist.
type Programs interface {
	// QueryLiveness returns the liveness of each program, in order.
	QueryLiveness(ctx context.Context, programs []ProgramID) []prefix.Liveness
}

// caches follows the prefix caches of one pool's engines.
type caches struct {
	mu         sync.Mutex
	reconciler *prefix.Reconciler
	next       map[ids.TargetID]int64
	busy       map[ids.TargetID]bool
	released   int64
}

func newCaches() *caches {
	return &caches{reconciler: prefix.NewReconciler(releaseGrace), next: map[ids.TargetID]int64{}, busy: map[ids.TargetID]bool{}}
}

// follow reads the caches of a pool's engines. An engine that has not answered the last time is not asked again yet.
func (d *Dispatcher) follow(ctx context.Context, p *pool) {
	for target, address := range p.addresses() {
		p.caches.mu.Lock()
		busy := p.caches.busy[target]
		p.caches.busy[target] = true
		p.caches.mu.Unlock()
		if busy {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
			defer cancel()
			d.readEvents(ctx, p, target, address)
			d.reconcile(ctx, p, target, address)
			p.caches.mu.Lock()
			delete(p.caches.busy, target)
			p.caches.mu.Unlock()
		}()
	}
	p.caches.forget(p.addresses())
}

func (c *caches) forget(known map[ids.TargetID]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range c.next {
		if _, ok := known[t]; !ok {
			delete(c.next, t)
			c.reconciler.Forget(t)
		}
	}
}

func (d *Dispatcher) readEvents(ctx context.Context, p *pool, target ids.TargetID, address string) {
	p.caches.mu.Lock()
	from := p.caches.next[target]
	p.caches.mu.Unlock()
	page, err := d.Engines.CacheEvents(ctx, address, from)
	if err != nil {
		return
	}
	now := time.Now()
	if page.Oldest > from || page.Next < from {
		p.cacheEvent(now, dispatch.CacheEvent{Target: target, Change: dispatch.CacheLost})
	}
	for _, e := range page.Events {
		change := dispatch.CacheStored
		if e.Tokens == 0 {
			change = dispatch.CacheEvicted
		}
		p.cacheEvent(now, dispatch.CacheEvent{Target: target, Change: change, Prefix: targets.PrefixOf(e.Workspace, e.Program), Tokens: e.Tokens})
	}
	p.caches.mu.Lock()
	p.caches.next[target] = page.Next
	p.caches.mu.Unlock()
}

// reconcile releases the prefixes of programs that no longer exist.
func (d *Dispatcher) reconcile(ctx context.Context, p *pool, target ids.TargetID, address string) {
	list, err := d.Engines.Cache(ctx, address)
	if err != nil {
		return
	}
	entries := map[dispatch.PrefixKey]string{}
	var cached []dispatch.PrefixKey
	var programs []ProgramID
	for _, e := range list {
		if e.Program == "" {
			continue
		}
		key := targets.PrefixOf(e.Workspace, e.Program)
		entries[key] = e.ID
		cached = append(cached, key)
		programs = append(programs, ProgramID{e.Workspace, e.Program})
	}
	lives := map[dispatch.PrefixKey]prefix.Liveness{}
	for i, life := range d.Programs.QueryLiveness(ctx, programs) {
		lives[cached[i]] = life
	}
	p.caches.mu.Lock()
	releases := p.caches.reconciler.Reconcile(time.Now(), target, cached, func(k dispatch.PrefixKey) prefix.Liveness { return lives[k] })
	p.caches.mu.Unlock()
	for _, r := range releases {
		if err := d.Engines.Evict(ctx, address, entries[r.Prefix]); err != nil {
			d.Logger.Debug("release a cached prefix", zap.String("target", string(target)), zap.Error(err))
			continue
		}
		p.cacheEvent(time.Now(), dispatch.CacheEvent{Target: target, Change: dispatch.CacheEvicted, Prefix: r.Prefix})
		p.caches.mu.Lock()
		p.caches.released++
		p.caches.mu.Unlock()
	}
}

func (p *pool) cacheEvent(now time.Time, e dispatch.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.CacheEvent(now, e)
}

func (p *pool) addresses() map[ids.TargetID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make(map[ids.TargetID]string, len(p.address))
	for t, a := range p.address {
		addresses[t] = a
	}
	return addresses
}
