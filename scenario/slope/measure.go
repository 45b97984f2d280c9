// Package slope measures what one more item costs the states and the operations of the decision packages.
package slope

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"
)

// point is a cost at one size.
type point struct{ size, cost float64 }

// fit returns the slope and the intercept of the line with the least squares.
func fit(points []point) (slope, intercept float64) {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// Spread is the median and the range of several runs.
type Spread struct{ Median, Least, Most float64 }

// SpreadOf returns the spread of at least one run.
func SpreadOf(runs []float64) Spread {
	sorted := slices.Sorted(slices.Values(runs))
	return Spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}

// String shows four significant digits.
func (s Spread) String() string {
	return fmt.Sprintf("%.4g (%.4g..%.4g)", s.Median, s.Least, s.Most)
}

// stateCase builds a state of n items.
type stateCase struct {
	name, item string
	sizes      []int
	build      func(n int) any
}

// heapOf returns the bytes of live memory that a state keeps.
func heapOf(build func() any) float64 {
	before := liveBytes()
	state := build()
	after := liveBytes()
	runtime.KeepAlive(state)
	return float64(after) - float64(before)
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools of the first had kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// PrintMemory builds states of several sizes and prints the bytes of live memory for each item. Only selects a case by its
// name; empty for all.
func PrintMemory(out io.Writer, only string, repeat int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "state\titem\tsizes\tbytes at each size (median)\tbytes an item: median (range of runs)")
	for _, c := range memoryCases() {
		if only != "" && only != c.name {
			continue
		}
		at := make([][]float64, len(c.sizes))
		var slopes []float64
		for range repeat {
			var points []point
			for i, n := range c.sizes {
				v := heapOf(func() any { return c.build(n) })
				at[i] = append(at[i], v)
				points = append(points, point{float64(n), v})
			}
			slope, _ := fit(points)
			slopes = append(slopes, slope)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.name, c.item, join(c.sizes), medians(at), SpreadOf(slopes))
	}
	return w.Flush()
}

func medians(at [][]float64) string {
	var all []string
	for _, runs := range at {
		all = append(all, fmt.Sprintf("%.4g", SpreadOf(runs).Median))
	}
	return strings.Join(all, " ")
}

func join(sizes []int) string { return strings.Trim(fmt.Sprint(sizes), "[]") }

// workCase prepares a state of n items and returns an operation on it.
type workCase struct {
	name, size string
	sizes      []int
	prepare    func(n int) (operation func())
}

// minimumTime of processor for one figure, so that the clock's step of a millisecond does not matter.
const minimumTime = 200 * time.Millisecond

// workOf returns the processor time of one operation in microseconds, that of the collector included, and the bytes
// that it allocates.
func workOf(operation func()) (micros, garbage float64) {
	operation()
	runtime.GC()
	for n := 1; ; n *= 2 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := processorTime()
		for range n {
			operation()
		}
		took := processorTime() - began
		runtime.ReadMemStats(&after)
		if took >= minimumTime {
			return float64(took.Microseconds()) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
		}
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call has no other error than a bad address
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// PrintWork prints the processor time and the garbage of operations on states of several sizes. Only selects a case by its
// name; empty for all.
func PrintWork(out io.Writer, only string, repeat int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "operation\tsize is\tsize\tmicroseconds of processor: median (range of runs)\tbytes allocated")
	for _, c := range workCases() {
		if only != "" && only != c.name {
			continue
		}
		for _, n := range c.sizes {
			operation := c.prepare(n)
			var times []float64
			garbage := 0.0
			for range repeat {
				var t float64
				t, garbage = workOf(operation)
				times = append(times, t)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.4g\n", c.name, c.size, n, SpreadOf(times), garbage)
		}
	}
	return w.Flush()
}
