package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/comfreylink/comfreylink/internal/events"
)

const (
	// leaveDelay is how long after SIGTERM callers are still accepted: the load balancer notices after two probes.
	leaveDelay = 2500 * time.Millisecond
	// answerMargin is how long before its exit the gateway answers the requests that it cannot finish.
	answerMargin = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period, when it would be killed, the gateway exits.
	exitMargin = 400 * time.Millisecond
	// drainPoll is how often a planned stop checks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
	// announceTimeout bounds the report to the other instances that this one leaves.
	announceTimeout = 500 * time.Millisecond
)

// errStopping is the cause that ends the contexts of requests that a planned stop cannot finish.
var errStopping = errors.New("the gateway is stopping")

// drain reports to the load balancer that the gateway is not ready, accepts callers until the balancer has noticed, and then
// waits for the requests in progress. Those that do not end in time are answered before the exit.
func (g *Gateway) drain(callerListener net.Listener) {
	// takeUntil must have passed when the loop below finds that no request is in progress, so it is set before began.
	takeFor := min(leaveDelay, g.Settings.Instance.Grace-exitMargin-answerMargin)
	g.takeUntil.Store(g.now().Add(takeFor).UnixNano())
	began := time.Now()
	g.draining.Store(true)
	go g.announceLeave()
	g.updateReady(g.now())
	events.Log(g.Logger, events.Draining, zap.Int("inProgress", g.server.Active()), zap.Duration("timeout", g.Settings.Instance.Grace))
	g.server.DisableKeepAlive()
	exitAt := began.Add(g.Settings.Instance.Grace - exitMargin)
	cancelAt := exitAt.Add(-answerMargin)
	for now := time.Now(); now.Before(exitAt); now = time.Now() {
		if now.Sub(began) > takeFor {
			// A request accepted later could take longer than the time until the exit.
			_ = callerListener.Close()
			g.server.CloseIdle()
			if g.server.Active() == 0 {
				break
			}
		}
		if !now.Before(cancelAt) {
			g.server.CancelRunning(errStopping)
		}
		time.Sleep(min(drainPoll, exitAt.Sub(now)))
	}
	g.flush(exitAt)
}

// takesRequests reports whether a request that was read by now may be passed on. It may not late in a planned stop, because
// it could take longer than the time until the exit.
func (g *Gateway) takesRequests(now time.Time) bool {
	until := g.takeUntil.Load()
	return until == 0 || now.UnixNano() < until
}

// announceLeave reports to the other instances at once that this one no longer grants requests from workspaces' rate limits.
func (g *Gateway) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	began := time.Now()
	if _, err := g.reports.Write(ctx); err != nil {
		events.Log(g.Logger, events.ReportFailed, zap.String("operation", "leave"), zap.Duration("waited", time.Since(began)), zap.Error(err))
	}
}

// flush writes pending records and the last report. It stops trying half of exitMargin after exitAt, and half of that time is
// left for the report.
func (g *Gateway) flush(exitAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), exitAt.Add(exitMargin/2))
	defer cancel()
	recordsCtx, cancelRecords := context.WithDeadline(ctx, exitAt.Add(exitMargin/4))
	defer cancelRecords()
	g.programs.Flush(recordsCtx)
	began := time.Now()
	_, err := g.reports.Write(ctx)
	if err = errors.Join(err, g.reports.RecordCrashes(ctx)); err != nil {
		events.Log(g.Logger, events.ReportFailed, zap.String("operation", "last"), zap.Duration("waited", time.Since(began)), zap.Error(err))
	}
}
