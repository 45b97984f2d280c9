package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/boottime"
	"github.com/comfreylink/comfreylink/internal/events"
	"github.com/comfreylink/comfreylink/internal/follower"
	"github.com/comfreylink/comfreylink/internal/gateway"
	"github.com/comfreylink/comfreylink/internal/httpwire"
	"github.com/comfreylink/comfreylink/internal/logcache"
	"github.com/comfreylink/comfreylink/internal/logring"
	"github.com/comfreylink/comfreylink/internal/pacedlog"
	"github.com/comfreylink/comfreylink/internal/partlog"
	"github.com/comfreylink/comfreylink/internal/relay"
	"github.com/comfreylink/comfreylink/internal/rpc"
	"github.com/comfreylink/comfreylink/internal/settings"
	"github.com/comfreylink/comfreylink/internal/telemetry"
	"github.com/comfreylink/comfreylink/platform"
)

const (
	// memoryShare is the share of the instance's memory that the Go runtime may use. The buffers of connections need the
	// rest.
	memoryShare = 0.6
	// gcPercent makes the garbage collector run more often than by default, since memory is scarcer than CPU time here.
	gcPercent = 50
	// settingsInterval is how often the settings file is checked for changes that are not announced by SIGHUP.
	settingsInterval = 2 * time.Second
	connectTimeout   = 300 * time.Millisecond
	silenceTimeout   = time.Second
)

// serveGateway creates a gateway with the platform's adapters and runs it. Each signal from reload makes it read its settings
// file again.
func serveGateway(ctx context.Context, path string, s settings.Gateway, reload <-chan os.Signal) (err error) {
	debug.SetGCPercent(gcPercent)
	if s.Instance.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Instance.Memory) * memoryShare))
	}
	ring, flush := logring.New(os.Stdout)
	defer flush()
	level := zap.NewAtomicLevelAt(s.Observe.LogLevel)
	logger := events.NewLogger(ring, level).With(zap.String("instance", string(s.Instance.ID)), zap.String("zone", string(s.Instance.Zone)))
	clock := boottime.New()
	metrics, endMetrics, err := telemetry.New()
	if err != nil {
		return err
	}
	defer endMetrics()
	client, closeClient := httpwire.NewClient(httpwire.ClientOptions{ConnectTimeout: connectTimeout, SilenceTimeout: silenceTimeout})
	defer closeClient()
	store := platform.NewStore(s.Store.Address, client, clock.Now, metrics)
	direct, err := pacedStore(store, s.Store, clock, metrics, logger)
	if err != nil {
		return err
	}
	runID := rand.Text()
	var g *gateway.Gateway
	peers, closePeers := rpc.NewClient()
	defer closePeers()
	log := relay.New(relay.Config{
		Direct: direct, Client: peers, Peers: func() []relay.Peer { return g.Peers() },
		MayPassOn: func(p partlog.Partition, peer relay.Peer) bool { return g.MayPassOn(p, peer) }, Zone: s.Instance.Zone, Now: clock.Now, Logger: logger,
	})
	g = gateway.New(gateway.Config{
		Settings: s, Codec: platform.Codec{}, ReadyPath: platform.ReadyPath, Client: client, Clock: clock, Logger: logger,
		Metrics: metrics, RunID: runID, Log: log, RPC: peers,
		Readers: logcache.Directory{Partition: platform.ReadersPartition, Encode: platform.EncodeKeyed},
		Source: follower.Source{
			Log: log, Config: platform.ConfigPartition, Targets: platform.TargetsPartition, ConfigKey: platform.ConfigKey,
			DecodeKeyed: platform.DecodeKeyed, DecodeConfig: platform.DecodeConfig, DecodeTarget: platform.DecodeTarget,
			DecodeEvacuation: platform.DecodeEvacuation, Self: s.Instance.ID, Zones: s.Zones,
		},
	})
	if err := metrics.Observe(g.Observed(ring.Dropped)); err != nil {
		return err
	}
	events.Log(logger, events.Started, zap.String("writer", runID))
	// These tasks go on during a planned stop, which begins when ctx ends.
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watchSettings(tasks, path, reload, level, logger)
	go logUsage(tasks, ring, metrics, logger)
	if s.Instance.Metrics != "" {
		endServer := serveMetrics(s.Instance.Metrics, metrics.Handler(g.Dump), logger)
		defer endServer()
	}
	began := time.Now()
	err = g.Run(ctx)
	events.Log(logger, events.Stopped, zap.Duration("duration", time.Since(began)), zap.Error(err))
	return err
}

// pacedStore returns the store, or a paced one if the settings name the log's limit.
func pacedStore(store *platform.Store, s settings.Store, clock *boottime.Clock, metrics *telemetry.Metrics, logger *zap.Logger) (partlog.Log, error) {
	if s.CallsPerSecond == 0 {
		return store, nil
	}
	l := pacedlog.New(pacedlog.Config{
		Direct: store, CallsPerSecond: float64(s.CallsPerSecond), Now: clock.Now, Observer: metrics, Logger: logger,
	})
	return l, metrics.ObservePace(l.State)
}

// serveMetrics serves the metrics address. If that fails, it logs the error and the gateway continues, since callers do
// not depend on it.
func serveMetrics(address string, h http.Handler, logger *zap.Logger) (end func()) {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: connectTimeout}
	go func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			events.Log(logger, events.InternalError, zap.String("task", "metrics"), zap.Error(err))
		}
	}()
	return func() { _ = server.Close() }
}

// watchSettings reloads the settings file after each signal, when its content changes, and at every check while it is
// unreadable.
func watchSettings(ctx context.Context, path string, signals <-chan os.Signal, level zap.AtomicLevel, logger *zap.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) && !signaled {
			continue
		}
		if err == nil {
			last = data
		}
		applySettings(path, level, logger)
	}
}

// applySettings applies the log level of the settings file. The other settings apply from the next start.
func applySettings(path string, level zap.AtomicLevel, logger *zap.Logger) {
	s, err := settings.LoadGateway(path)
	if err != nil {
		events.Log(logger, events.SettingsChanged, zap.String("file", path), zap.String("reason", err.Error()))
		return
	}
	level.SetLevel(s.Observe.LogLevel)
	events.Log(logger, events.SettingsChanged, zap.String("file", path), zap.String("reason", "valid"))
}

// logUsage logs calls to the store and dropped log lines until the context ends.
func logUsage(ctx context.Context, ring *logring.Ring, metrics *telemetry.Metrics, logger *zap.Logger) {
	var last int64
	metrics.TakeStoreUse(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(telemetry.StoreUseCheckInterval):
		}
		use, due := metrics.TakeStoreUse(time.Now())
		if !due {
			continue
		}
		events.Log(logger, events.StoreUsed, zap.Duration("interval", use.Interval), zap.Any("calls", use.Calls))
		if n := ring.Dropped(); n > last {
			events.Log(logger, events.LinesDropped, zap.Int64("count", n-last))
			last = n
		}
	}
}
