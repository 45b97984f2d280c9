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
	// cacheInterval is how often the cache events and the cache lists of engines are read.
	cacheInterval = 2 * time.Second
	cacheTimeout  = 2 * time.Second
	// releaseGrace is how long the program of a cached prefix must not exist before the prefix is released. While its
	// engine answers, the memory of a deleted program is free after at most releaseGrace and two intervals.
	releaseGrace = 10 * time.Second
)

// Engines reads the load of engines, and reads and frees their prefix caches.
type Engines interface {
	// Load returns the load that an engine reports.
	Load(ctx context.Context, address string) (l engine.Load, err error)
	// CacheEvents returns the cache events of an engine from a sequence number on.
	CacheEvents(ctx context.Context, address string, from int64) (p engine.CacheEventPage, err error)
	// Cache returns the list of cached prefixes of an engine.
	Cache(ctx context.Context, address string) (l []engine.CacheEntry, err error)
	// Evict removes a cached prefix from an engine.
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

// caches is the state of reading the prefix caches of one pool's engines.
type caches struct {
	mu         sync.Mutex
	reconciler *prefix.Reconciler
	// next is the sequence number of the next cache event to read from each engine.
	next map[ids.TargetID]int64
	// inProgress holds the engines whose caches are being read.
	inProgress map[ids.TargetID]bool
	// released counts the prefixes that were released.
	released int64
}

func newCaches() *caches {
	return &caches{reconciler: prefix.NewReconciler(releaseGrace), next: map[ids.TargetID]int64{}, inProgress: map[ids.TargetID]bool{}}
}

// updateCaches reads the caches of a pool's engines in the background. It skips an engine that is still being read from
// the last time.
func (d *Dispatcher) updateCaches(ctx context.Context, p *pool) {
	for target, address := range p.addresses() {
		p.caches.mu.Lock()
		inProgress := p.caches.inProgress[target]
		p.caches.inProgress[target] = true
		p.caches.mu.Unlock()
		if inProgress {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
			defer cancel()
			d.readEvents(ctx, p, target, address)
			d.reconcile(ctx, p, target, address)
			p.caches.mu.Lock()
			delete(p.caches.inProgress, target)
			p.caches.mu.Unlock()
		}()
	}
	p.caches.forget(p.addresses())
}

// forget drops the state of the engines that are no longer known.
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

// readEvents passes the new cache events of an engine to the pool's queue.
func (d *Dispatcher) readEvents(ctx context.Context, p *pool, target ids.TargetID, address string) {
	p.caches.mu.Lock()
	from := p.caches.next[target]
	p.caches.mu.Unlock()
	page, err := d.Engines.CacheEvents(ctx, address, from)
	if err != nil {
		return
	}
	now := time.Now()
	// The engine has dropped events that were not read, or has restarted.
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

// reconcile releases the prefixes that an engine caches for programs that no longer exist.
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
	liveness := map[dispatch.PrefixKey]prefix.Liveness{}
	for i, state := range d.Programs.QueryLiveness(ctx, programs) {
		liveness[cached[i]] = state
	}
	p.caches.mu.Lock()
	releases := p.caches.reconciler.Reconcile(time.Now(), target, cached, func(k dispatch.PrefixKey) prefix.Liveness { return liveness[k] })
	p.caches.mu.Unlock()
	for _, r := range releases {
		if err := d.Engines.Evict(ctx, address, entries[r.Prefix]); err != nil {
			d.Logger.Debug("cannot release a cached prefix", zap.String("target", string(target)), zap.Error(err))
			continue
		}
		p.cacheEvent(time.Now(), dispatch.CacheEvent{Target: target, Change: dispatch.CacheEvicted, Prefix: r.Prefix})
		p.caches.mu.Lock()
		p.caches.released++
		p.caches.mu.Unlock()
	}
}

// cacheEvent passes a cache event to the queue.
func (p *pool) cacheEvent(now time.Time, e dispatch.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.CacheEvent(now, e)
}

// addresses returns the addresses of the pool's targets.
func (p *pool) addresses() map[ids.TargetID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make(map[ids.TargetID]string, len(p.address))
	for t, a := range p.address {
		addresses[t] = a
	}
	return addresses
}
