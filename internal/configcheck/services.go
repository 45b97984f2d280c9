package configcheck

import (
	"slices"
	"strings"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

func (k *checker) services() {
	used := make(map[call.ServiceName]bool)
	for _, r := range k.config.Routes {
		for _, b := range r.Backends {
			used[b.Service] = used[b.Service] || b.Weight > 0
		}
	}
	seen := make(names)
	for i, s := range k.config.Services {
		p := Place{Section: Services, Index: i, Name: string(s.Name)}
		seen.check(k, p, "Name", Error, "only the last one has an effect")
		if !used[s.Name] {
			k.warn(p, "", "no route sends requests to it")
		} else if k.options.Targets != nil && !slices.ContainsFunc(k.options.Targets, func(t call.Target) bool { return t.Service == s.Name && !t.Draining }) {
			k.warn(p, "", "no target of it is registered, so its requests are refused")
		}
		notNegative(k, p, "MaxConns", s.MaxConns)
		if s.Engine != nil {
			k.engine(p, *s.Engine)
		}
	}
}

func (k *checker) engine(p Place, e call.Engine) {
	notNegative(k, p, "Engine.Slots", e.Slots)
	notNegative(k, p, "Engine.CacheTokens", int64(e.CacheTokens))
	if e.Slots == 0 {
		k.warn(p, "Engine.Slots", "is missing")
	}
	// Each request of a full batch holds the tokens of at least one event.
	least := ids.Tokens(e.Slots) * e.TokensPerEvent
	if e.CacheTokens >= 0 && e.CacheTokens < least {
		k.warn(p, "Engine.CacheTokens", "is %d, which is below the %d that one event of each request of a full batch needs", e.CacheTokens, least)
	}
}

func (k *checker) workspaces() {
	seen := make(names)
	owners := make(map[string]string)
	for i, w := range k.config.Workspaces {
		p := Place{Section: Workspaces, Index: i, Name: string(w.ID)}
		seen.check(k, p, "ID", Error, "they share limits and programs")
		k.keys(p, w, owners)
		notNegative(k, p, "Priority", w.Priority)
		notNegative(k, p, "Rate", w.Rate)
		notNegative(k, p, "Burst", w.Burst)
		switch {
		case w.Rate > 0 && w.Burst < 1 && w.Burst >= 0:
			k.warn(p, "Burst", "is %v, which is below one request; the gateway uses 1", w.Burst)
		case w.Rate == 0 && w.Burst > 0:
			k.warn(p, "Burst", "has no effect without a rate")
		}
	}
}

// keys checks the keys of a workspace without naming any of them. owners holds the workspaces of the keys seen before.
func (k *checker) keys(p Place, w call.Workspace, owners map[string]string) {
	const field = "Keys"
	if len(w.Keys) == 0 {
		k.warn(p, field, "are missing, so no caller can use the workspace")
	}
	for i, key := range w.Keys {
		owner, taken := owners[key]
		switch {
		case key == "":
			k.error(p, field, "key %d is empty", i)
		case strings.TrimSpace(key) != key:
			k.warn(p, field, "key %d begins or ends with white space, which headers cannot carry", i)
		case slices.Contains(w.Keys[:i], key):
			k.warn(p, field, "key %d is there twice", i)
		case taken:
			k.error(p, field, "key %d belongs to the workspace %q too", i, owner)
		}
		owners[key] = string(w.ID)
	}
}
