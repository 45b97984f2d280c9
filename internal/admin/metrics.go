package admin

import (
	"context"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/comfreylink/comfreylink/internal/instruments"
	"github.com/comfreylink/comfreylink/internal/traffic"
	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Upper bounds of histogram buckets, in seconds.
var (
	callBounds    = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120, 300}
	waitBounds    = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}
	programBounds = []float64{1, 2.5, 5, 10, 30, 60, 120, 300, 600, 1200, 3600, 7200, 21600}
)

// Names of attributes. Those without the prefix "comfreylink" are from OpenTelemetry's semantic conventions.
const (
	attrRoute    = attribute.Key("http.route")
	attrStatus   = attribute.Key("http.response.status_code")
	attrZone     = attribute.Key("cloud.availability_zone")
	attrMethod   = attribute.Key("rpc.method")
	attrCode     = attribute.Key("comfreylink.refusal.code")
	attrStream   = attribute.Key("comfreylink.stream.kind")
	attrPool     = attribute.Key("comfreylink.pool")
	attrTemplate = attribute.Key("comfreylink.template")
	attrFailed   = attribute.Key("comfreylink.failed")
	attrLink     = attribute.Key("comfreylink.link")
	attrIO       = attribute.Key("network.io.direction")
)

// Observed holds the functions that return the values of gauges and byte counters when metrics are collected. They may be
// called at any time.
type Observed struct {
	ConfigRevision func() ids.Revision
	OwnedSlots     func() int
	// Links returns the byte counters of the connections by the value of the attribute comfreylink.link, such as "log".
	Links func() map[string]*traffic.Counter
}

// Metrics holds the daemon's instruments. Its methods may be called concurrently.
type Metrics struct {
	set *instruments.Set

	request, append, queue, program, peer metric.Float64Histogram
	refused, skipped                      metric.Int64Counter
}

// NewMetrics creates the instruments; cleanup shuts down their provider.
func NewMetrics(o Observed) (m *Metrics, cleanup func(), err error) {
	defer func() { err = oops.In("admin").Wrapf(err, "create the metrics") }()
	set, cleanup, err := instruments.New("github.com/comfreylink/comfreylink")
	if err != nil {
		return nil, nil, err
	}
	set.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m = &Metrics{set: set}
	m.request = set.Seconds("http.server.request.duration", "Time from a caller's request to the end of its answer.", callBounds)
	m.append = set.Seconds("comfreylink.log.append.duration", "Time of an append to the log service.", waitBounds)
	m.queue = set.Seconds("comfreylink.dispatch.queue.wait", "Time that a call waits at the dispatcher of its pool.", waitBounds)
	m.program = set.Seconds("comfreylink.program.duration", "Time from a program's first call to its end.", programBounds)
	m.peer = set.Seconds("rpc.client.call.duration", "Time of a call to another daemon.", callBounds)
	m.refused = set.Counter("comfreylink.request.refused", "{request}", "Requests that were refused.")
	m.skipped = set.Counter("comfreylink.log.entry.skipped", "{entry}", "Log entries that were not interpreted.")
	set.Gauge("comfreylink.config.revision", "{revision}", "Highest revision of the configuration in force.",
		func() float64 { return float64(o.ConfigRevision()) })
	set.Gauge("comfreylink.slot.owned", "{slot}", "Slots that this instance serves.",
		func() float64 { return float64(o.OwnedSlots()) })
	observeLinks(set, o.Links)
	return m, cleanup, set.Err()
}

// observeLinks creates the counter of the bytes that control traffic sends and receives. The design page sets a limit for
// these.
func observeLinks(set *instruments.Set, links func() map[string]*traffic.Counter) {
	_, err := set.Meter.Int64ObservableCounter("comfreylink.network.io", metric.WithUnit("By"),
		metric.WithDescription("Bytes of connections, without those of TCP and below."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for name, c := range links() {
				o.Observe(c.Sent(), metric.WithAttributes(attrLink.String(name), attrIO.String("transmit")))
				o.Observe(c.Received(), metric.WithAttributes(attrLink.String(name), attrIO.String("receive")))
			}
			return nil
		}))
	set.RecordError(err)
}

// RequestDone records a caller's request. The route is a pattern, not a path, to keep the number of attribute values
// small. The zone is that of the target, or empty if the request was sent to no target.
func (m *Metrics) RequestDone(route string, status int, zone ids.Zone, d time.Duration) {
	instruments.Record(m.request, d, attrRoute.String(route), attrStatus.Int(status), attrZone.String(string(zone)))
}

// Refused counts a request that was refused with an error code.
func (m *Metrics) Refused(code string) {
	instruments.Add(m.refused, 1, attrCode.String(code))
}

// Appended records an append to the log service.
func (m *Metrics) Appended(s ids.Stream, d time.Duration, err error) {
	instruments.Record(m.append, d, attrStream.String(streamKind(s)), attrFailed.Bool(err != nil))
}

// QueueWaited records the time that a call waited at the dispatcher of its pool.
func (m *Metrics) QueueWaited(pool ids.PoolID, d time.Duration) {
	instruments.Record(m.queue, d, attrPool.String(string(pool)))
}

// ProgramEnded records the time from a program's first call to its end.
func (m *Metrics) ProgramEnded(template string, d time.Duration) {
	instruments.Record(m.program, d, attrTemplate.String(template))
}

// PeerCalled records a call to another daemon.
func (m *Metrics) PeerCalled(method string, d time.Duration, err error) {
	instruments.Record(m.peer, d, attrMethod.String(method), attrFailed.Bool(err != nil))
}

// EntrySkipped counts a log entry that was not interpreted.
func (m *Metrics) EntrySkipped(s ids.Stream) {
	instruments.Add(m.skipped, 1, attrStream.String(streamKind(s)))
}

// streamKind keeps the number of attribute values independent of the number of slots.
func streamKind(s ids.Stream) string {
	kind, _, _ := strings.Cut(string(s), "-")
	return kind
}
