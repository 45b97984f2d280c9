// Package instruments creates the metrics of a process and serves them to Prometheus.
package instruments

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Set creates instruments and stores the first error.
type Set struct {
	Registry *prometheus.Registry
	Meter    metric.Meter
	err      error
}

// New returns a set whose instruments have the instrumentation scope; cleanup shuts down their provider.
func New(scope string) (s *Set, cleanup func(), err error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Set{Registry: registry, Meter: provider.Meter(scope)}, func() { _ = provider.Shutdown(context.Background()) }, nil
}

// Err returns the first error of creating an instrument.
func (s *Set) Err() error { return s.err }

// RecordError stores the error of an instrument that the caller created with Meter, unless an error is stored already.
func (s *Set) RecordError(err error) {
	if s.err == nil {
		s.err = err
	}
}

// Seconds returns a histogram of durations.
func (s *Set) Seconds(name, description string, bounds []float64) metric.Float64Histogram {
	return s.Histogram(name, "s", description, bounds)
}

// Histogram returns a histogram of values.
func (s *Set) Histogram(name, unit, description string, bounds []float64) metric.Float64Histogram {
	h, err := s.Meter.Float64Histogram(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bounds...))
	s.RecordError(err)
	return h
}

// Counter returns a counter.
func (s *Set) Counter(name, unit, description string) metric.Int64Counter {
	c, err := s.Meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	s.RecordError(err)
	return c
}

// Gauge creates a gauge whose value is read at each collection.
func (s *Set) Gauge(name, unit, description string, value func() float64) {
	_, err := s.Meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	s.RecordError(err)
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{})
}

// Record adds a duration to a histogram.
func Record(h metric.Float64Histogram, d time.Duration, attrs ...attribute.KeyValue) {
	h.Record(context.Background(), d.Seconds(), metric.WithAttributes(attrs...))
}

// Add adds n to a counter.
func Add(c metric.Int64Counter, n int64, attrs ...attribute.KeyValue) {
	c.Add(context.Background(), n, metric.WithAttributes(attrs...))
}
