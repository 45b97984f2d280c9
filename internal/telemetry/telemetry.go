// Package telemetry serves the gateway's metrics and its dump.
package telemetry

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Bounds of histogram buckets, in seconds.
var (
	requestBounds = []float64{.005, .01, .025, .05, .1, .15, .25, .5, 1, 2.5, 5, 10, 30}
	waitBounds    = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}
)

// Names of attributes.
const (
	attrRoute   = attribute.Key("http.route")
	attrStatus  = attribute.Key("http.response.status_code")
	attrOutcome = attribute.Key("comfreylink.outcome")
	attrCode    = attribute.Key("comfreylink.refusal.code")
	attrService = attribute.Key("comfreylink.service")
	attrCall    = attribute.Key("comfreylink.store.call")
	attrFailed  = attribute.Key("comfreylink.failed")
)

// Observed are values that are read when metrics are collected. The functions may be called at any time.
type Observed struct {
	ConfigVersion func() int64
	ConfigAge     func() time.Duration
	Waiting       func() int
	Turns         func() int
	LinesDropped  func() int64
}

// Metrics are the gateway's instruments. Its methods may be called concurrently.
type Metrics struct {
	registry *prometheus.Registry

	request, waited, firstByte, store metric.Float64Histogram
	refused, attempts, storeBytes     metric.Int64Counter
	meter                             metric.Meter

	mu    sync.Mutex
	calls map[string]CallCount
}

// CallCount is how often a call to the platform's log was made, how often it failed and how many bytes it moved.
type CallCount struct {
	Made   int `json:"made"`
	Failed int `json:"failed"`
	Bytes  int `json:"bytes"`
}

// StoreCalls returns the counts of all calls since the start, by path.
func (m *Metrics) StoreCalls() map[string]CallCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.calls)
}

// New returns the instruments; cleanup ends their provider.
func New() (m *Metrics, cleanup func(), err error) {
	defer func() { err = oops.In("telemetry").Wrapf(err, "make the metrics") }()
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m = &Metrics{registry: registry, calls: make(map[string]CallCount), meter: provider.Meter("github.com/comfreylink/comfreylink/gateway")}
	var i instruments
	m.request = i.seconds(m.meter, "http.server.request.duration", "Time from a request to the end of its answer.", requestBounds)
	m.waited = i.seconds(m.meter, "comfreylink.line.wait", "Time that a request waits for a target.", waitBounds)
	m.firstByte = i.seconds(m.meter, "comfreylink.stream.first_event", "Time from a request to the first event of its stream.", requestBounds)
	m.store = i.seconds(m.meter, "comfreylink.store.call.duration", "Time of a call to the platform's log.", requestBounds)
	m.refused = i.counter(m.meter, "comfreylink.request.refused", "{request}", "Requests that were refused.")
	m.attempts = i.counter(m.meter, "comfreylink.attempt", "{attempt}", "Attempts at targets by how they ended.")
	m.storeBytes = i.counter(m.meter, "comfreylink.store.io", "By", "Bytes written to and read from the platform's log.")
	return m, func() { _ = provider.Shutdown(context.Background()) }, i.err
}

type instruments struct{ err error }

func (i *instruments) keep(err error) {
	if i.err == nil {
		i.err = err
	}
}

func (i *instruments) seconds(m metric.Meter, name, description string, bounds []float64) metric.Float64Histogram {
	h, err := m.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), metric.WithExplicitBucketBoundaries(bounds...))
	i.keep(err)
	return h
}

func (i *instruments) counter(m metric.Meter, name, unit, description string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	i.keep(err)
	return c
}

func (i *instruments) gauge(m metric.Meter, name, unit, description string, value func() float64) {
	_, err := m.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	i.keep(err)
}

// Observe registers the values that are read at each collection.
func (m *Metrics) Observe(o Observed) error {
	var i instruments
	i.gauge(m.meter, "comfreylink.config.version", "{version}", "Version of the configuration in force.", func() float64 { return float64(o.ConfigVersion()) })
	i.gauge(m.meter, "comfreylink.config.age", "s", "Time since the configuration was known to be up to date.", func() float64 { return o.ConfigAge().Seconds() })
	i.gauge(m.meter, "comfreylink.line.length", "{request}", "Requests that wait for a target.", func() float64 { return float64(o.Waiting()) })
	i.gauge(m.meter, "comfreylink.turns", "{turn}", "Remembered turns in memory.", func() float64 { return float64(o.Turns()) })
	i.gauge(m.meter, "comfreylink.log.dropped", "{line}", "Log lines that were left out.", func() float64 { return float64(o.LinesDropped()) })
	return i.err
}

// RequestDone counts an answered request.
func (m *Metrics) RequestDone(route, outcome string, status int, took time.Duration) {
	m.request.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attrRoute.String(route), attrOutcome.String(outcome), attrStatus.Int(status)))
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attrCode.String(code)))
}

// Waited records the time in line.
func (m *Metrics) Waited(service string, took time.Duration) {
	m.waited.Record(context.Background(), took.Seconds(), metric.WithAttributes(attrService.String(service)))
}

// FirstByte records the time to the first event of a stream.
func (m *Metrics) FirstByte(route string, took time.Duration) {
	m.firstByte.Record(context.Background(), took.Seconds(), metric.WithAttributes(attrRoute.String(route)))
}

// Attempt counts an attempt at a target.
func (m *Metrics) Attempt(service, outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attrService.String(service), attrOutcome.String(outcome)))
}

// StoreCall records a call to the platform's log.
func (m *Metrics) StoreCall(call string, took time.Duration, bytes int, err error) {
	m.mu.Lock()
	count := m.calls[call]
	count.Made++
	count.Bytes += bytes
	if err != nil {
		count.Failed++
	}
	m.calls[call] = count
	m.mu.Unlock()
	attributes := metric.WithAttributes(attrCall.String(call), attrFailed.Bool(err != nil))
	m.store.Record(context.Background(), took.Seconds(), attributes)
	m.storeBytes.Add(context.Background(), int64(bytes), attributes)
}

// Handler serves the metrics at /metrics and what dump returns at /dump.
func (m *Metrics) Handler(dump func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(dump())
	})
	return mux
}
