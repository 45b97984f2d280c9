// Package list is a stand-in for the platform's list of instances, whose answers lag behind changes.
package list

import (
	"encoding/json"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/standin/serve"
	"github.com/valyala/fasthttp"
)

// maxVersions is the number of past states that are kept. A lag of one minute with a change every 10 ms needs 6,000.
const maxVersions = 8192

// Instance is one entry of the list.
type Instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Answer is the body of GET /v1/instances.
type Answer struct {
	Instances []Instance `json:"instances"`
}

// Faults are the faults that can be set. The zero value means no faults.
type Faults struct {
	// Outage answers 503 to reads.
	Outage bool `json:"outage"`
	// DelayMs delays reads.
	DelayMs int64 `json:"delayMs"`
	// LagMs replaces the lag given to New unless it is 0.
	LagMs int64 `json:"lagMs"`
}

// version is the state of the list from a point in time until the next version.
type version struct {
	since     time.Time
	instances []Instance
}

// List is a stand-in for the list of instances.
type List struct {
	lag    time.Duration
	now    func() time.Time
	faults *serve.Faults[Faults]
	done   chan struct{}

	mu       sync.Mutex
	versions []version
}

// New returns an empty list whose answers show the state that it had lag ago. The cleanup unblocks delayed requests.
func New(lag time.Duration, now func() time.Time) (l *List, cleanup func()) {
	l = &List{lag: lag, now: now, faults: serve.NewFaults[Faults](), done: make(chan struct{})}
	l.versions = []version{{}}
	return l, sync.OnceFunc(func() { close(l.done) })
}

// Handle serves the list's HTTP interface.
func (l *List) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	id, hasID := strings.CutPrefix(path, "/v1/instances/")
	switch {
	case path == "/faults":
		l.faults.Handle(ctx)
	case path == "/v1/instances" && ctx.IsGet():
		l.read(ctx)
	case hasID && ctx.IsPut():
		l.put(ctx, id)
	case hasID && ctx.IsDelete():
		l.change(id, nil)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	default:
		serve.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// read serves GET /v1/instances.
func (l *List) read(ctx *fasthttp.RequestCtx) {
	f := l.faults.Get()
	serve.Pause(l.done, f.DelayMs)
	if f.Outage {
		serve.Fail(ctx, fasthttp.StatusServiceUnavailable, "outage")
		return
	}
	lag := l.lag
	if f.LagMs > 0 {
		lag = time.Duration(f.LagMs) * time.Millisecond
	}
	serve.JSON(ctx, fasthttp.StatusOK, Answer{l.at(l.now().Add(-lag))})
}

// put serves PUT /v1/instances/ID.
func (l *List) put(ctx *fasthttp.RequestCtx, id string) {
	var i Instance
	if err := json.Unmarshal(ctx.PostBody(), &i); err != nil {
		serve.Fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if i.ID = id; i.State == "" {
		i.State = "live"
	}
	if unescaped, err := url.PathUnescape(id); err == nil {
		i.ID = unescaped
	}
	l.change(i.ID, &i)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// at returns the list as it was at time t.
func (l *List) at(t time.Time) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range slices.Backward(l.versions) {
		if !v.since.After(t) {
			return append([]Instance{}, v.instances...)
		}
	}
	return []Instance{}
}

// change adds or replaces the instance with the given id, or removes it if i is nil.
func (l *List) change(id string, i *Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1].instances
	next := slices.DeleteFunc(slices.Clone(last), func(o Instance) bool { return o.ID == id })
	if i != nil {
		next = append(next, *i)
	}
	slices.SortFunc(next, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, version{l.now(), next})
	if len(l.versions) > maxVersions {
		l.versions = slices.Delete(l.versions, 0, len(l.versions)-maxVersions)
	}
}
