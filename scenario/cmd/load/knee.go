package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
)

// kneeCommand measures the throughput of one daemon at a growing number of callers. Each caller sends its next request when
// the previous one is answered.
func kneeCommand() *cli.Command {
	return &cli.Command{
		Name:  "knee",
		Usage: "measure requests a second and memory of one daemon at a growing number of callers",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "of the measurement at each number of callers"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return knee(ctx, c.Duration("duration"))
		},
	}
}

// knee prints the throughput and the latencies at each number of callers, measured for the given duration.
func knee(ctx context.Context, duration time.Duration) error {
	f, cleanup, err := startMinimalFleet(ctx, 1)
	if err != nil {
		return err
	}
	defer cleanup()
	url := "http://" + f.Cluster.Process(f.Daemons[0]).Address + "/services/" + string(f.Service) + "/stock"
	fmt.Println("callers  requests/s   P50 us   P99 us  failed  resident memory")
	for _, callers := range []int{1, 4, 16, 64, 256} {
		r := newRecorder(options{}, "")
		failed := runCallers(ctx, f.Callers["large-1"], url, callers, duration, r)
		rss, err := cluster.ResidentMemory(f.Cluster.Process(f.Daemons[0]).PID())
		if err != nil {
			return err
		}
		n := r.first.TotalCount()
		fmt.Printf("%7d %11.0f %8d %8d %7d  %s\n", callers, float64(n)/duration.Seconds(), r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(99), failed, rss)
	}
	return nil
}

// runCallers sends requests from a number of concurrent callers until the duration has passed. It records the latencies of
// successful requests and returns the number of failed ones.
func runCallers(ctx context.Context, c *caller.Caller, url string, callers int, duration time.Duration, r *recorder) (failed int) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				a, err := c.Do(ctx, caller.Request{Method: http.MethodGet, URL: url})
				if ctx.Err() != nil {
					return
				}
				r.mu.Lock()
				if err != nil || a.Error != nil {
					failed++
				} else {
					_ = r.first.RecordValue(a.Took.Microseconds())
				}
				r.mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failed
}
