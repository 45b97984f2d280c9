package call

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table looks up the routes, workspaces and services of one configuration. It is immutable.
type Table struct {
	Config   Config
	byHost   map[string][]*Route // longest prefix first
	byKey    map[[sha256.Size]byte]*Workspace
	services map[ServiceName]*Service
	ranks    map[*Route]int
}

// NewTable returns the table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, byHost: make(map[string][]*Route), byKey: make(map[[sha256.Size]byte]*Workspace),
		services: make(map[ServiceName]*Service), ranks: make(map[*Route]int),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.byKey[sha256.Sum256([]byte(k))] = w
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	t.rankRoutes()
	return t
}

// rankRoutes sets the rank of each route: the number of smaller priorities among the routes that share a service with it.
func (t *Table) rankRoutes() {
	priorities := make(map[ServiceName][]int)
	for _, r := range t.Config.Routes {
		for _, b := range r.Backends {
			if !slices.Contains(priorities[b.Service], r.Priority) {
				priorities[b.Service] = append(priorities[b.Service], r.Priority)
			}
		}
	}
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		for _, b := range r.Backends {
			rank := 0
			for _, p := range priorities[b.Service] {
				if p < r.Priority {
					rank++
				}
			}
			t.ranks[r] = max(t.ranks[r], rank)
		}
	}
}

// Rank returns the number of more urgent priorities among the routes that share a service with a route.
func (t *Table) Rank(r *Route) int { return t.ranks[r] }

// Route returns the host's route with the longest prefix that matches the path, or nil.
func (t *Table) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that an API key belongs to, or nil. The lookup is by the key's hash, so that the time it
// takes reveals nothing about valid keys.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.byKey[sha256.Sum256([]byte(key))]
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.services[name] }

// Backend returns the service that runs a request of the route. It is chosen by the key's hash, in proportion to the
// weights, so that requests with the same key go to the same service. It is empty if no backend has a weight.
func (r *Route) Backend(key string) ServiceName {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(key) % uint64(total))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return ""
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}
