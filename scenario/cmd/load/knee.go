package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreylink/comfreylink/scenario/caller"
	"github.com/comfreylink/comfreylink/scenario/cluster"
	"github.com/comfreylink/comfreylink/scenario/deploy"
)

// kneeCommand measures one daemon with a growing number of callers, each of which sends its next request when the last one
// is answered.
func kneeCommand() *cli.Command {
	return &cli.Command{
		Name:  "knee",
		Usage: "measure requests a second and memory of one daemon at a growing number of callers",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "at each number of callers"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return knee(ctx, c.Duration("duration"))
		},
	}
}

func knee(ctx context.Context, each time.Duration) error {
	dir, err := os.MkdirTemp("", "comfreylink-knee-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := cluster.Build(ctx, dir); err != nil {
		return err
	}
	d := deploy.Known["akwaaba"]
	d.Engines, d.Services = 1, 1
	const unlimited = 1e5
	f, cleanup, err := d.Start(ctx, dir, dir, deploy.Options{Daemons: 1, Policy: "fair", Speed: 1000, Requests: unlimited})
	if err != nil {
		return err
	}
	defer cleanup()
	url := "http://" + f.Cluster.Process(f.Daemons[0]).Address + "/services/" + string(f.Service) + "/stock"
	fmt.Println("callers  requests/s   P50 us   P99 us  failed  resident memory")
	for _, callers := range []int{1, 4, 16, 64, 256} {
		r := newRecord(options{}, "")
		failed := hammer(ctx, f.Callers["large-1"], url, callers, each, r)
		rss, err := residentMemory(f.Cluster.Process(f.Daemons[0]).PID())
		if err != nil {
			return err
		}
		n := r.first.TotalCount()
		fmt.Printf("%7d %11.0f %8d %8d %7d  %s\n", callers, float64(n)/each.Seconds(), r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(99), failed, rss)
	}
	return nil
}

// hammer keeps a number of callers busy for a time and returns how many of their requests were not answered with success.
func hammer(ctx context.Context, c *caller.Caller, url string, callers int, each time.Duration, r *recorder) (failed int) {
	ctx, cancel := context.WithTimeout(ctx, each)
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

// residentMemory returns the resident memory of a process as the kernel prints it.
func residentMemory(pid int) (rss string, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(value), nil
		}
	}
	return "", fmt.Errorf("process %d shows no resident memory", pid)
}
