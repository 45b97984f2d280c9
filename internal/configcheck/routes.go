package configcheck

import (
	"strings"

	"github.com/comfreylink/comfreylink/internal/call"
)

func (k *checker) routes() {
	seen := make(names)
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		p := Place{Section: Routes, Index: i, Name: r.Name}
		seen.check(k, p, "Name", Warning, "logs and metrics do not distinguish them")
		k.reachable(p, r)
		k.backends(p, r)
		k.times(p, r)
		k.effects(p, r)
	}
}

// reachable reports a route that no request matches. It asks the table that decides in the gateways, with the path that suits
// the route best: if a longer prefix covers that one, it covers all.
func (k *checker) reachable(p Place, r *call.Route) {
	switch {
	case r.Host == "":
		k.error(p, "Host", "is missing, so no request matches")
		return
	case strings.Contains(r.Host, ":"):
		k.error(p, "Host", "has a port, which is removed from requests before they are compared, so no request matches")
		return
	case r.Prefix != "" && r.Prefix[0] != '/':
		k.error(p, "Prefix", "does not begin with /, so no request matches")
		return
	case strings.ContainsAny(r.Prefix, "?# "):
		k.error(p, "Prefix", "contains a character that no path of a request has, so no request matches")
		return
	}
	path := r.Prefix
	if path == "" {
		path = "/"
	}
	if other := k.table.Route(r.Host, path); other != nil && other != r {
		k.error(p, "Prefix", "no request matches, because all match the route %q", other.Name)
	}
}

// backends checks that requests of a route reach a service.
func (k *checker) backends(p Place, r *call.Route) {
	const field = "Backends"
	total := 0
	seen := make(map[call.ServiceName]bool)
	for _, b := range r.Backends {
		switch {
		case b.Service == "":
			k.error(p, field, "names no service")
		case k.table.Service(b.Service) == nil:
			k.error(p, field, "the service %q does not exist", b.Service)
		case seen[b.Service]:
			k.warn(p, field, "the service %q is named twice", b.Service)
		}
		seen[b.Service] = true
		if b.Weight < 0 {
			k.error(p, field, "the weight of %q is negative", b.Service)
		}
		total += b.Weight
	}
	if total <= 0 {
		k.error(p, field, "no service has a weight, so all requests are refused")
	}
}

// logRetentionShare is the part of the log's retention for which turns can be retained at most (docs/COMMANDS.md, gateway).
const logRetentionShare = 0.75

// times checks the durations of a route, and its priority.
func (k *checker) times(p Place, r *call.Route) {
	notNegative(k, p, "Timeout", r.Timeout)
	notNegative(k, p, "Objective", r.Objective)
	notNegative(k, p, "Retention", r.Retention)
	notNegative(k, p, "Priority", r.Priority)
	if r.Timeout == 0 {
		k.warn(p, "Timeout", "is missing, so the gateway's default applies")
	} else if r.Timeout > 0 && r.Objective > r.Timeout {
		k.warn(p, "Objective", "is %v, which is above the timeout of %v", r.Objective, r.Timeout)
	}
	if !r.Remembered {
		return
	}
	if r.Retention == 0 {
		k.error(p, "Retention", "is missing, so turns are dropped before they can be continued")
	}
	if limit := float64(k.options.LogRetention) * logRetentionShare; limit > 0 && float64(r.Retention) > limit {
		k.error(p, "Retention", "is %v, which is above three quarters of the %v for which the log keeps records", r.Retention, k.options.LogRetention)
	}
}

// effects reports fields that have no effect on routes of their kind.
func (k *checker) effects(p Place, r *call.Route) {
	if r.Kind != call.Stream && r.Resumable {
		k.warn(p, "Resumable", "has no effect on a route without streams")
	}
	if r.Kind != call.Stream && r.Remembered {
		k.warn(p, "Remembered", "has no effect on a route without streams")
	}
	if r.Public && r.Remembered {
		k.warn(p, "Remembered", "turns of callers without a key are not kept apart by workspace")
	}
}
