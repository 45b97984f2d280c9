package configcheck_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/internal/call"
	"github.com/comfreylink/comfreylink/internal/configcheck"
)

func valid() call.Config {
	return call.Config{
		Version: 4,
		Routes: []call.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: call.Stream, Timeout: 3 * time.Second, Objective: time.Second, Remembered: true, Retention: time.Minute, Backends: []call.Backend{{Service: "llm", Weight: 1}}},
			{Name: "print", Host: "h", Prefix: "/print/", Timeout: 3 * time.Second, Backends: []call.Backend{{Service: "desk", Weight: 1}}},
		},
		Services:   []call.Service{{Name: "llm", Engine: &call.Engine{Slots: 8, CacheTokens: 9000, TokensPerEvent: 10}}, {Name: "desk"}},
		Workspaces: []call.Workspace{{ID: "a", Keys: []string{"SECRET-1"}, Rate: 5, Burst: 5}, {ID: "b", Keys: []string{"SECRET-2"}}},
	}
}

// Guards against a fault of a configuration that is not found, is named at the wrong place, or is found in a valid one.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	o := configcheck.Options{LogRetention: 5 * time.Minute}
	c.Assert(configcheck.Check(valid(), o), qt.HasLen, 0)
	withTargets := configcheck.Options{Targets: []call.Target{{Service: "llm"}, {Service: "desk", Draining: true}}}
	findings := configcheck.Check(valid(), withTargets)
	c.Assert(findings, qt.HasLen, 1)
	c.Assert(findings[0].Place.Name+" "+findings[0].Message, qt.Contains, "desk no target of it is registered")
	for name, f := range map[string]struct {
		change func(c *call.Config)
		want   string
	}{
		"covered by the same prefix": {func(c *call.Config) { c.Routes[1].Prefix = "/chat/" }, `error 2.1 Prefix: no request matches, because all match the route "chat"`},
		"covered by a longer prefix": {func(c *call.Config) { c.Routes[0].Prefix, c.Routes[1].Prefix = "/", "" }, `error 2.1 Prefix: no request matches`},
		"same host in capitals":      {func(c *call.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "H", "/chat/" }, `error 2.1 Prefix: no request matches`},
		"relative prefix":            {func(c *call.Config) { c.Routes[1].Prefix = "print/" }, `error 2.1 Prefix: does not begin`},
		"host with a port":           {func(c *call.Config) { c.Routes[1].Host = "h:80" }, `error 2.1 Host: has a port`},
		"unknown service":            {func(c *call.Config) { c.Routes[0].Backends[0].Service = "lm" }, `error 2.0 Backends: the service "lm" does not exist`},
		"no weight":                  {func(c *call.Config) { c.Routes[0].Backends[0].Weight = 0 }, `error 2.0 Backends: no service has a weight`},
		"objective above timeout":    {func(c *call.Config) { c.Routes[0].Objective = time.Minute }, `warning 2.0 Objective: is 1m0s, which is above the timeout of 3s`},
		"retention above the log's":  {func(c *call.Config) { c.Routes[0].Retention = 4 * time.Minute }, `error 2.0 Retention: is 4m0s`},
		"no retention":               {func(c *call.Config) { c.Routes[0].Retention = 0 }, `error 2.0 Retention: is missing`},
		"remembered without stream":  {func(c *call.Config) { c.Routes[0].Kind = call.Safe }, `warning 2.0 Remembered: has no effect`},
		"service without route":      {func(c *call.Config) { c.Services = append(c.Services, call.Service{Name: "x"}) }, `warning 3.2 : no route sends requests to it`},
		"service twice":              {func(c *call.Config) { c.Services = append(c.Services, c.Services[0]) }, `error 3.2 Name: is the name of entry 0 too`},
		"small memory":               {func(c *call.Config) { c.Services[0].Engine.CacheTokens = 79 }, `warning 3.0 Engine.CacheTokens: is 79, which is below the 80`},
		"negative slots":             {func(c *call.Config) { c.Services[0].Engine.Slots = -1 }, `error 3.0 Engine.Slots: is negative`},
		"no keys":                    {func(c *call.Config) { c.Workspaces[1].Keys = nil }, `warning 4.1 Keys: are missing`},
		"key of another workspace":   {func(c *call.Config) { c.Workspaces[1].Keys = c.Workspaces[0].Keys }, `error 4.1 Keys: key 0 belongs to the workspace "a" too`},
		"empty key":                  {func(c *call.Config) { c.Workspaces[1].Keys = []string{""} }, `error 4.1 Keys: key 0 is empty`},
		"burst below a request":      {func(c *call.Config) { c.Workspaces[0].Burst = 0.5 }, `warning 4.0 Burst: is 0.5, which is below one request`},
		"burst without rate":         {func(c *call.Config) { c.Workspaces[0].Rate = 0 }, `warning 4.0 Burst: has no effect`},
		"negative limit":             {func(c *call.Config) { c.Limits.BodyBytes = -1 }, `error 1.0 BodyBytes: is negative`},
		"empty":                      {func(c *call.Config) { *c = call.Config{} }, `error 0.0 Routes: are missing`},
	} {
		config := valid()
		f.change(&config)
		var lines []string
		for _, f := range configcheck.Check(config, o) {
			lines = append(lines, fmt.Sprintf("%s %d.%d %s: %s", f.Severity, f.Place.Section, f.Place.Index, f.Field, f.Message))
		}
		text := strings.Join(lines, "\n")
		c.Check(text, qt.Contains, f.want, qt.Commentf("%s", name))
		c.Check(text, qt.Not(qt.Contains), "SECRET", qt.Commentf("%s", name))
	}
}

// Guards against a difference that is not reported, an order of the output that depends on chance, and keys in the output.
func TestCompare(t *testing.T) {
	c := qt.New(t)
	old, next := valid(), valid()
	next.Version = 5
	next.Limits.BodyBytes = 7
	next.Routes[0].Kind, next.Routes[0].Timeout = call.Safe, time.Second
	next.Routes[1].Name = "paper"
	next.Services[0].Engine.Slots = 4
	next.Services[1].Engine = &call.Engine{Slots: 2}
	next.Workspaces[0].Keys = []string{"SECRET-3", "SECRET-1", "SECRET-4"}
	next.Workspaces[1].ID = "c"
	want := []configcheck.Change{
		{configcheck.Changed, configcheck.Place{}, []configcheck.FieldChange{{Field: "Version", Old: "4", New: "5"}}},
		{configcheck.Changed, configcheck.Place{Section: configcheck.Limits}, []configcheck.FieldChange{{Field: "BodyBytes", Old: "0", New: "7"}}},
		{configcheck.Changed, configcheck.Place{Section: configcheck.Routes, Name: "chat"}, []configcheck.FieldChange{{Field: "Kind", Old: "stream", New: "safe"}, {Field: "Timeout", Old: "3s", New: "1s"}}},
		{configcheck.Added, configcheck.Place{Section: configcheck.Routes, Index: 1, Name: "paper"}, nil},
		{configcheck.Removed, configcheck.Place{Section: configcheck.Routes, Index: 1, Name: "print"}, nil},
		{configcheck.Changed, configcheck.Place{Section: configcheck.Services, Name: "llm"}, []configcheck.FieldChange{{Field: "Engine.Slots", Old: "8", New: "4"}}},
		{configcheck.Changed, configcheck.Place{Section: configcheck.Services, Index: 1, Name: "desk"}, []configcheck.FieldChange{{Field: "Engine", Old: "none", New: "{Slots:2 CacheTokens:0 TokensPerEvent:0}"}}},
		{configcheck.Changed, configcheck.Place{Section: configcheck.Workspaces, Name: "a"}, []configcheck.FieldChange{{Field: "Keys", KeysAdded: 2}}},
		{configcheck.Added, configcheck.Place{Section: configcheck.Workspaces, Index: 1, Name: "c"}, []configcheck.FieldChange{{Field: "Keys", KeysAdded: 1}}},
		{configcheck.Removed, configcheck.Place{Section: configcheck.Workspaces, Index: 1, Name: "b"}, []configcheck.FieldChange{{Field: "Keys", KeysRemoved: 1}}},
	}
	for range 20 {
		c.Assert(configcheck.Compare(old, next), qt.DeepEquals, want)
	}
	c.Assert(fmt.Sprint(want), qt.Not(qt.Contains), "SECRET")
	c.Assert(configcheck.Compare(old, valid()), qt.HasLen, 0)
	c.Assert(configcheck.CheckVersion(old, next, want), qt.HasLen, 0)
	next.Version = old.Version
	c.Assert(configcheck.CheckVersion(old, next, want), qt.HasLen, 1)
}

// Guards against regions that are reported although one of them has targets for the requests, and the reverse.
func TestRegionFindings(t *testing.T) {
	c := qt.New(t)
	targets := map[string]bool{"north": true}
	p := configcheck.Place{Section: configcheck.Routes}
	c.Assert(configcheck.RegionFindings(p, "f", nil, targets), qt.HasLen, 0)
	c.Assert(configcheck.RegionFindings(p, "f", []string{"north"}, targets), qt.HasLen, 0)
	l := configcheck.RegionFindings(p, "f", []string{"south", "north"}, targets)
	c.Assert(l, qt.HasLen, 1)
	c.Assert(l[0].Severity, qt.Equals, configcheck.Warning)
	l = configcheck.RegionFindings(p, "f", []string{"south"}, targets)
	c.Assert(l[len(l)-1].Severity, qt.Equals, configcheck.Error)
}

// Guards against a workspace whose requests to a route are refused because both allow other regions, and against a value that
// decoding leaves out without a word.
func TestRegionsOfRoutesAndWorkspaces(t *testing.T) {
	c := qt.New(t)
	config := call.Config{
		Ignored: []string{"a service has a negative rate"}, Services: []call.Service{{Name: "llm"}},
		Routes:     []call.Route{{Name: "r", Host: "h", Prefix: "/r/", Backends: []call.Backend{{Service: "llm", Weight: 1}}, Regions: []string{"north"}}},
		Workspaces: []call.Workspace{{ID: "far", Keys: []string{"k"}, Regions: []string{"south"}}, {ID: "any", Keys: []string{"l"}}},
	}
	var messages []string
	for _, f := range configcheck.Check(config, configcheck.Options{}) {
		if f.Field == "Regions" || f.Place.Section == configcheck.Root {
			messages = append(messages, f.Message)
		}
	}
	c.Assert(messages, qt.DeepEquals, []string{
		"a service has a negative rate; the value is left out", `share none with those of the workspace "far", so its requests are refused`,
	})
}
