package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	limitPerS = 158.0 // RatePerS and Burst of the tenant, as in the example of the operator's configuration
	// QuotaWindowS, QuotaOverage and QuotaSlack of the sites.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// hotFactor is the tenant's load in multiples of its limit. A hot tenant sends 7.5 times its usual load, and limits are
	// 1.6 times that.
	hotFactor = 4.0
	hotTime   = 6500 * time.Millisecond
	stopAfter = 2 * time.Second        // from the begin of the load
	stopLead  = 100 * time.Millisecond // from SIGTERM until the other gateway reads the reports
	callTime  = 6 * time.Second
)

// limitAfterStop stops the gateway that grants all of a tenant's limit while the tenant asks for more than that.
func limitAfterStop(w *world, trouble bool) (held bool, err error) {
	if err := w.publishLimit(60, limitPerS); err != nil {
		return false, err
	}
	for i := range 12 {
		if err := w.startWorker(fixedID(fmt.Sprintf("i-desk%d", i)), plain, "--slots", "6", "--work", "60ms"); err != nil {
			return false, err
		}
	}
	first, err := w.addGateway(1)
	if err != nil {
		return false, err
	}
	// The other gateway comes later, as in a restart of one after the other. The first one grants all of the limit then.
	var clients sync.WaitGroup
	for i := range 300 {
		clients.Go(func() { w.sendCall(first, i) })
		time.Sleep(2 * time.Millisecond)
	}
	clients.Wait()
	second, err := w.addGateway(2)
	if err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	// Gateways read each other's reports once a second. The stop comes shortly before that.
	sinceRead := (time.Since(second.startedAt()) + stopAfter + stopLead) % time.Second
	time.Sleep(time.Second - sinceRead)

	balancer := &rotation{}
	probesEnd := make(chan struct{})
	defer close(probesEnd)
	go balancer.probe(first, time.Now().Add(stopAfter+probeLag), probesEnd)

	var mu sync.Mutex
	sent := make(map[string]time.Time)
	began := time.Now()
	var stopped bool
	for i := 0; ; i++ {
		at := began.Add(time.Duration(float64(i) / (hotFactor * limitPerS) * float64(time.Second)))
		time.Sleep(time.Until(at))
		if at.Sub(began) > hotTime {
			break
		}
		if trouble && !stopped && at.Sub(began) >= stopAfter {
			stopped = true
			w.signal(first, syscall.SIGTERM)
		}
		g := w.gateways[i%2]
		if !balancer.inRotation() {
			g = second
		}
		clients.Go(func() {
			a := w.sendCall(g, 1000+2*i)
			mu.Lock()
			sent[a.id] = a.sent
			mu.Unlock()
			if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable || a.retry > callTime/3 {
				return
			}
			time.Sleep(a.retry)
			a = w.sendCall(w.gateways[(i+1)%2], 1001+2*i) // retries reach other daemons
			mu.Lock()
			sent[a.id] = a.sent
			mu.Unlock()
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	most, at := w.mostInWindow(sent)
	limit := (limitPerS*quotaWindow.Seconds()+limitPerS)*(1+quotaOverage) + quotaSlack
	w.note("at most %d requests were sent and ran within %v, from %.3f s on; the limit is %.0f", most, quotaWindow, at.Sub(w.began).Seconds(), limit)
	return float64(most) <= limit, nil
}

// sendCall sends a tool call of a running program.
func (w *world) sendCall(g *gateway, n int) answer {
	headers := map[string]string{"X-Program-Id": fmt.Sprintf("p%d", n%200), "X-Session-Id": "s", "X-Finish-Ms": "20000"}
	return w.send(g, fmt.Sprintf("%016x", 0xe000+n), "/print/batch", "order", callTime, headers)
}

// mostInWindow returns the largest number of requests that were sent and arrived at a worker that ran them within one window,
// and when that window begins.
func (w *world) mostInWindow(sent map[string]time.Time) (most int, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	type pair struct{ sent, arrived time.Time }
	var l []pair
	for _, r := range w.runs {
		if s, ok := sent[r.id]; ok {
			l = append(l, pair{sent: s, arrived: r.at})
		}
	}
	slices.SortFunc(l, func(a, b pair) int { return a.sent.Compare(b.sent) })
	for i, first := range l {
		n := 0
		for _, p := range l[i:] {
			if !p.arrived.After(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

const (
	// probeInterval is the time between two questions of the platform whether a gateway is ready; after missesToLeave answers
	// that are not 200 it sends no new connections there.
	probeInterval = time.Second
	missesToLeave = 2
	// probeLag is how long after SIGTERM the platform asks next.
	probeLag = 100 * time.Millisecond
)

// rotation says whether the platform sends new connections to a gateway.
type rotation struct {
	mu     sync.Mutex
	misses int
}

// probe asks the gateway once in each probeInterval, once of these times at the time at, until end is closed.
func (r *rotation) probe(g *gateway, at time.Time, end <-chan struct{}) {
	first := at.Add(-time.Until(at).Truncate(probeInterval))
	time.Sleep(time.Until(first))
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		ready := g.isReady()
		r.mu.Lock()
		if r.misses++; ready {
			r.misses = 0
		}
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-end:
			return
		}
	}
}

func (r *rotation) inRotation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses < missesToLeave
}
