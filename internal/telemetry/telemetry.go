// Package telemetry records the gateway's metrics, and serves them and the gateway's dump.
package telemetry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/comfreylink/comfreylink/internal/instruments"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
)

// Upper bounds of histogram buckets, in seconds.
var (
	requestBounds = []float64{.005, .01, .025, .05, .1, .15, .25, .5, 1, 2.5, 5, 10, 30}
	recordBounds  = []float64{1, 2, 4, 8, 16, 32, 64, 128, 256}
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
	attrTopic   = attribute.Key("comfreylink.store.topic")
	attrFailed  = attribute.Key("comfreylink.failed")
	attrFirst   = attribute.Key("comfreylink.program.first")
	attrKind    = attribute.Key("comfreylink.store.kind")
	attrZone    = attribute.Key("comfreylink.zone")
	attrReason  = attribute.Key("comfreylink.zone.reason")

	attrDirection = attribute.Key("network.io.direction")
)

// Observed holds the functions that return the values of gauges when metrics are collected. They may be called at any
// time.
type Observed struct {
	ConfigVersion func() int64
	ConfigAge     func() time.Duration
	Waiting       func() int
	Turns         func() int
	LinesDropped  func() int64
	// EvacuatedZones and ColdTargets return how many this instance knows.
	EvacuatedZones func() int
	ColdTargets    func() int
}

// Metrics holds the gateway's instruments. Its methods may be called concurrently.
type Metrics struct {
	set *instruments.Set

	request, waited, firstByte, store metric.Float64Histogram
	recordWait, records               metric.Float64Histogram
	refused, cut, attempts            metric.Int64Counter
	storeBytes                        metric.Int64Counter
	storeThrottled, storePaced        metric.Int64Counter
	admission                         metric.Int64Counter
	zoneCost                          metric.Float64Histogram
	zoneSent                          metric.Int64Counter

	use storeUse
}

// New creates the instruments; cleanup shuts down their provider.
func New() (m *Metrics, cleanup func(), err error) {
	defer func() { err = oops.In("telemetry").Wrapf(err, "create the metrics") }()
	set, cleanup, err := instruments.New("github.com/comfreylink/comfreylink/gateway")
	if err != nil {
		return nil, nil, err
	}
	m = &Metrics{set: set, use: newStoreUse()}
	m.request = set.Seconds("http.server.request.duration", "Time from a request to the end of its answer.", requestBounds)
	m.waited = set.Seconds("comfreylink.line.wait", "Time that a request waits for a target.", waitBounds)
	m.firstByte = set.Seconds("comfreylink.stream.first_event", "Time from a request to the first event of its stream.", requestBounds)
	m.store = set.Seconds("comfreylink.store.call.duration", "Time of a call to the platform's log, by topic and outcome.", requestBounds)
	m.recordWait = set.Seconds("comfreylink.records.wait", "Time that the oldest record of an append has waited for it.", waitBounds)
	m.records = set.Histogram("comfreylink.records.append", "{record}", "Records of an append to a partition with the records of programs.", recordBounds)
	m.refused = set.Counter("comfreylink.request.refused", "{request}", "Requests that were refused.")
	m.cut = set.Counter("comfreylink.answer.cut", "{request}", "Answers that ended before they were complete, by the reason.")
	m.attempts = set.Counter("comfreylink.attempt", "{attempt}", "Attempts at targets by how they ended.")
	m.zoneSent = set.Counter("comfreylink.zone.sent", "{request}", "Requests sent to targets of a zone, by the reason for it.")
	m.zoneCost = set.Seconds("comfreylink.zone.cost", "What leaving the instance's zone was taken to cost.", waitBounds)
	m.storeBytes = set.Counter("comfreylink.store.io", "By", "Bytes sent to and received from the platform's log, by topic and outcome of the call.")
	m.storeThrottled = set.Counter("comfreylink.store.throttled", "{call}", "Calls that the platform's log refused because there were too many.")
	m.admission = set.Counter("comfreylink.admission", "{request}", "Decisions whether the record of a request will be written in time.")
	m.storePaced = set.Counter("comfreylink.store.paced", "{call}", "Paced calls to the platform's log by kind and outcome.")
	return m, cleanup, set.Err()
}

// Observe creates the gauges, whose values are read at each collection.
func (m *Metrics) Observe(o Observed) error {
	m.set.Gauge("comfreylink.config.version", "{version}", "Version of the configuration in force.", func() float64 { return float64(o.ConfigVersion()) })
	m.set.Gauge("comfreylink.config.age", "s", "Time since the configuration was known to be up to date.", func() float64 { return o.ConfigAge().Seconds() })
	m.set.Gauge("comfreylink.line.length", "{request}", "Requests that wait for a target.", func() float64 { return float64(o.Waiting()) })
	m.set.Gauge("comfreylink.turns", "{turn}", "Remembered turns in memory.", func() float64 { return float64(o.Turns()) })
	m.set.Gauge("comfreylink.log.dropped", "{line}", "Log lines that were left out.", func() float64 { return float64(o.LinesDropped()) })
	m.set.Gauge("comfreylink.zones.evacuated", "{zone}", "Zones that are evacuated.", func() float64 { return float64(o.EvacuatedZones()) })
	m.set.Gauge("comfreylink.targets.cold", "{target}", "Targets that are cold.", func() float64 { return float64(o.ColdTargets()) })
	return m.set.Err()
}

// ObservePace creates the gauges of the pacing of calls to the platform's log.
func (m *Metrics) ObservePace(state func() pacedlog.State) error {
	m.set.Gauge("comfreylink.store.rate.append", "{call}/s", "Rate of appends that this instance allows itself.", func() float64 { return state().AppendRate })
	m.set.Gauge("comfreylink.store.rate.read", "{call}/s", "Rate of reads that this instance allows itself.", func() float64 { return state().ReadRate })
	m.set.Gauge("comfreylink.store.queued", "{call}", "Calls that wait for the rate.", func() float64 { return float64(state().Queued) })
	return m.set.Err()
}

// RequestDone records the duration of an answered request.
func (m *Metrics) RequestDone(route, outcome string, status int, took time.Duration) {
	instruments.Record(m.request, took, attrRoute.String(route), attrOutcome.String(outcome), attrStatus.Int(status))
}

// Refused counts a request that was refused with an error code.
func (m *Metrics) Refused(code string) {
	instruments.Add(m.refused, 1, attrCode.String(code))
}

// AnswerCut counts an answer that ended before it was complete.
func (m *Metrics) AnswerCut(reason string) {
	instruments.Add(m.cut, 1, attrCode.String(reason))
}

// Waited records the time that a request waited in the queue of a service.
func (m *Metrics) Waited(service string, took time.Duration) {
	instruments.Record(m.waited, took, attrService.String(service))
}

// FirstByte records the time from a request to the first event of its stream.
func (m *Metrics) FirstByte(route string, took time.Duration) {
	instruments.Record(m.firstByte, took, attrRoute.String(route))
}

// Attempt counts an attempt at a target of a service by its outcome.
func (m *Metrics) Attempt(service, outcome string) {
	instruments.Add(m.attempts, 1, attrService.String(service), attrOutcome.String(outcome))
}

// ZoneSent counts a request sent to a zone, and what leaving the own zone was taken to cost.
func (m *Metrics) ZoneSent(zone, reason string, cost time.Duration) {
	instruments.Add(m.zoneSent, 1, attrZone.String(zone), attrReason.String(reason))
	if cost > 0 {
		instruments.Record(m.zoneCost, cost, attrZone.String(zone), attrReason.String(reason))
	}
}

// StoreCall records a call to the platform's log, whose kind is that of the context. It implements platform.Observer.
func (m *Metrics) StoreCall(ctx context.Context, call partlog.Call) {
	call.Topic = m.use.add(call, pacedlog.KindOf(ctx).String())
	common := []attribute.KeyValue{attrCall.String(call.Name), attrTopic.String(call.Topic)}
	if call.Outcome == partlog.Throttled {
		instruments.Add(m.storeThrottled, 1, common...)
	}
	common = append(common, attrOutcome.String(string(call.Outcome)), attrFailed.Bool(call.Outcome != partlog.Answered))
	instruments.Record(m.store, call.Took, common...)
	if call.Sent > 0 {
		instruments.Add(m.storeBytes, int64(call.Sent), append(common, attrDirection.String("transmit"))...)
	}
	if call.Received > 0 {
		instruments.Add(m.storeBytes, int64(call.Received), append(common, attrDirection.String("receive"))...)
	}
}

// PacedCall counts a paced call to the platform's log. It implements pacedlog.Observer.
func (m *Metrics) PacedCall(kind, outcome string) {
	instruments.Add(m.storePaced, 1, attrKind.String(kind), attrOutcome.String(outcome))
}

// Admission counts a decision about a request. It implements recordgate.Observer.
func (m *Metrics) Admission(result string, first bool) {
	instruments.Add(m.admission, 1, attrOutcome.String(result), attrFirst.Bool(first))
}

// RecordsWritten records an append of records of programs.
func (m *Metrics) RecordsWritten(records int, waited time.Duration) {
	instruments.Record(m.recordWait, waited)
	m.records.Record(context.Background(), float64(records))
}

// Handler serves the metrics at /metrics and what dump returns at /dump.
func (m *Metrics) Handler(dump func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.set.Handler())
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(dump())
	})
	return mux
}
