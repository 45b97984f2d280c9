package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/slope"
)

// header names the columns that printRow prints, separated by tabs.
const header = "daemons\ttargets\tslots\tworkspaces\trequests/s\ttokens\tms of processor/s of a daemon: median (range)\tsum\tresident MB\theap in use MB\t" +
	"to log B/s\tfrom log B/s\tpeers sent B/s\tcalls to peers/s\tappends/s slot\tfleet\tfailed"

// measure runs one deployment and prints its row. The columns "sum", "appends/s slot" and "fleet" are totals of all daemons,
// and "failed" is the number of failed requests, warm-up included. The other measured columns are the median and the range
// over the daemons.
func (d deployment) measure(ctx context.Context, bin string, w io.Writer) error {
	c, callers, cleanup, err := d.start(ctx, bin)
	if err != nil {
		return err
	}
	defer cleanup()
	loadContext, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan int, 1)
	go func() {
		_, f := d.sendLoad(loadContext, c, callers)
		failed <- f
	}()
	sleep(ctx, d.warm)
	before, err := d.samples(c)
	if err != nil {
		return err
	}
	began := time.Now()
	sleep(ctx, d.measured)
	after, err := d.samples(c)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	stop()
	d.printRow(w, before, after, seconds, <-failed)
	return ctx.Err()
}

// samples takes a sample of each daemon.
func (d deployment) samples(c *cluster.Cluster) (all []sample, err error) {
	for i := range d.daemons {
		s, err := sampleOf(c, string(daemonID(i)))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// sleep blocks until t has passed or ctx is canceled.
func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

// printRow prints the row of a deployment from the samples at the beginning and at the end of the measured time.
func (d deployment) printRow(w io.Writer, before, after []sample, seconds float64, failed int) {
	rate := func(value func(sample) float64) (s slope.Spread, sum float64) {
		var all []float64
		for i := range after {
			v := (value(after[i]) - value(before[i])) / seconds
			all = append(all, v)
			sum += v
		}
		return slope.SpreadOf(all), sum
	}
	current := func(value func(sample) float64) slope.Spread {
		var all []float64
		for _, s := range after {
			all = append(all, value(s)/1e6)
		}
		return slope.SpreadOf(all)
	}
	bytes := func(direction string, links ...string) slope.Spread {
		s, _ := rate(func(s sample) (v float64) {
			for _, l := range links {
				v += s.sum("comfreylink_network_io_bytes_total", `link="`+l+`"`, direction)
			}
			return v
		})
		return s
	}
	appends := func(kind string) float64 {
		_, sum := rate(func(s sample) float64 {
			return s.sum("comfreylink_log_append_duration_seconds_count", `kind="`+kind+`"`)
		})
		return sum
	}
	processor, processorSum := rate(func(s sample) float64 { return float64(s.processor.Microseconds()) / 1000 })
	calls, _ := rate(func(s sample) float64 { return s.sum("rpc_client_call_duration_seconds_count") })
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%g\t%d\t%v\t%.4g\t%v\t%v\t%v\t%v\t%v\t%v\t%.4g\t%.4g\t%d\n",
		d.daemons, d.targets, d.slots, d.workspaces, d.requests, d.tokens, processor, processorSum,
		current(func(s sample) float64 { return s.resident }), current(func(s sample) float64 { return s.sum("go_memstats_heap_inuse_bytes") }),
		bytes("transmit", "log"), bytes("receive", "log"), bytes("transmit", "toPeers", "fromPeers"), calls,
		appends("slot"), appends("fleet"), failed)
}
