package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/slope"
)

const header = "daemons\ttargets\tslots\tworkspaces\trequests/s\ttokens\tms of processor/s of a daemon: median (range)\tsum\tresident MB\theap in use MB\t" +
	"to log B/s\tfrom log B/s\tpeers sent B/s\tcalls to peers/s\tappends/s slot\tfleet\tfailed"

// measure runs one deployment and prints its line. Figures are of one daemon, as median and range over the daemons, or
// as sums over all where the column says so.
func (d deployment) measure(ctx context.Context, bin string, w io.Writer) error {
	c, callers, cleanup, err := d.start(ctx, bin)
	if err != nil {
		return err
	}
	defer cleanup()
	running, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan int, 1)
	go func() {
		_, f := d.load(running, c, callers)
		failed <- f
	}()
	wait(ctx, d.warm)
	before, err := d.samples(c)
	if err != nil {
		return err
	}
	began := time.Now()
	wait(ctx, d.measured)
	after, err := d.samples(c)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	stop()
	d.print(w, before, after, seconds, <-failed)
	return ctx.Err()
}

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

func wait(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

func (d deployment) print(w io.Writer, before, after []sample, seconds float64, failed int) {
	rate := func(value func(sample) float64) (s slope.Spread, sum float64) {
		var all []float64
		for i := range after {
			v := (value(after[i]) - value(before[i])) / seconds
			all = append(all, v)
			sum += v
		}
		return slope.SpreadOf(all), sum
	}
	now := func(value func(sample) float64) slope.Spread {
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
		now(func(s sample) float64 { return s.resident }), now(func(s sample) float64 { return s.sum("go_memstats_heap_inuse_bytes") }),
		bytes("transmit", "log"), bytes("receive", "log"), bytes("transmit", "toPeers", "fromPeers"), calls,
		appends("slot"), appends("fleet"), failed)
}
