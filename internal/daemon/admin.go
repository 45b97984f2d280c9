package daemon

import (
	"time"

	"github.com/comfreylink/comfreylink/internal/admin"
	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// openMetrics creates the metrics. It is the first step of New, because the other parts record into them.
func (d *Daemon) openMetrics() (err error) {
	var cleanup func()
	d.metrics, cleanup, err = admin.NewMetrics(admin.Observed{
		ConfigRevision: func() ids.Revision { return d.catalog.Current().Revision() },
		Links:          d.links,
		OwnedSlots:     func() int { return len(d.fleet.Status(time.Now()).Owned) },
	})
	if err != nil {
		return err
	}
	d.onClose(cleanup)
	return nil
}

// links returns the byte counters of the connections to the log and between peers.
func (d *Daemon) links() map[string]*traffic.Counter {
	return map[string]*traffic.Counter{
		"log":       d.log.Traffic(),
		"fromPeers": d.server.Traffic(),
		"toPeers":   d.peers.Traffic(),
	}
}

// openAdmin binds the admin address and registers the parts of the daemon that /status and /dump show.
func (d *Daemon) openAdmin() (err error) {
	var cleanup func()
	d.admin, cleanup, err = admin.New(admin.Config{
		Address:  d.settings.Instance.Admin,
		Instance: d.settings.Instance.ID,
		Metrics:  d.metrics,
		Parts:    d.parts(),
		NotReady: d.notReady,
		Drain:    d.Drain,
		Logger:   d.logger,
	})
	if err != nil {
		return err
	}
	d.onClose(cleanup)
	return nil
}

// callStatus is the part of the status about requests in progress.
type callStatus struct {
	Callers int64 `json:"callers"`
	Peers   int64 `json:"peers"`
	Stop    bool  `json:"stopping"`
}

func (d *Daemon) parts() []admin.Part {
	return []admin.Part{
		admin.ConfigPart(d.catalog.Current),
		{Name: "calls", Status: func() any { return callStatus{d.chat.Active(), d.server.Calls(), d.stopping.Load()} }},
		{Name: "fleet", Status: func() any { return d.fleet.Status(time.Now()) }},
		{Name: "members", Status: func() any { return d.members.Reports(time.Now()) }},
		{Name: "slots", Status: func() any { return d.slots.Status() }},
		{Name: "limiter", Status: func() any { return d.limiter.Status() }},
		{Name: "pools", Status: func() any { return d.dispatcher.Status(time.Now()) }},
		{Name: "configStream", Status: func() any { return d.config.Status() }},
	}
}

// notReady returns the reasons why the daemon does not admit requests, and nothing if it does.
func (d *Daemon) notReady() (reasons []string) {
	if d.stopping.Load() {
		reasons = append(reasons, "the daemon is stopping")
	}
	if !d.fresh(time.Now()) {
		reasons = append(reasons, "the configuration may be out of date: neither the log nor enough peers answer")
	}
	if !d.fleetLog.Status().Ready || d.fleetLog.Fresh().IsZero() {
		reasons = append(reasons, "the fleet stream has not been read yet")
	}
	return reasons
}
