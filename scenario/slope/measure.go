// Package slope measures how the memory of states, the processor time of operations and the size of messages grow with
// the number of items, such as programs, workspaces and peers.
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

// point is the cost measured at one size.
type point struct{ size, cost float64 }

// fit returns the slope and the intercept of the least-squares line through at least two points of different sizes.
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
type Spread struct{ Median, Min, Max float64 }

// SpreadOf returns the spread of at least one run.
func SpreadOf(runs []float64) Spread {
	sorted := slices.Sorted(slices.Values(runs))
	return Spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}

// String returns the median and the range with four significant digits.
func (s Spread) String() string {
	return fmt.Sprintf("%.4g (%.4g..%.4g)", s.Median, s.Min, s.Max)
}

// stateCase is a state whose memory is measured at several sizes. The field item says what one item of the state is; build
// returns a state of n items.
type stateCase struct {
	name, item string
	sizes      []int
	build      func(n int) any
}

// heapOf returns the number of bytes of live heap that the built state retains.
func heapOf(build func() any) float64 {
	before := liveBytes()
	state := build()
	after := liveBytes()
	runtime.KeepAlive(state)
	return float64(after) - float64(before)
}

// liveBytes collects garbage and returns the number of bytes that remain on the heap.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC() // the second collection frees what finalizers and sync.Pools retained during the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// PrintMemory builds states of several sizes and prints the bytes of live heap per item. It measures each case repeat times.
// If only is not empty, just the case of this name is measured.
func PrintMemory(out io.Writer, only string, repeat int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "state\titem\tsizes\tbytes at each size (median)\tbytes an item: median (range of runs)")
	for _, c := range memoryCases() {
		if only != "" && only != c.name {
			continue
		}
		bytes := make([][]float64, len(c.sizes)) // for each size, the bytes of every run
		var slopes []float64
		for range repeat {
			var points []point
			for i, n := range c.sizes {
				v := heapOf(func() any { return c.build(n) })
				bytes[i] = append(bytes[i], v)
				points = append(points, point{float64(n), v})
			}
			slope, _ := fit(points)
			slopes = append(slopes, slope)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.name, c.item, join(c.sizes), medians(bytes), SpreadOf(slopes))
	}
	return w.Flush()
}

// medians returns the medians of the runs at each size, separated by spaces.
func medians(runsBySize [][]float64) string {
	var all []string
	for _, runs := range runsBySize {
		all = append(all, fmt.Sprintf("%.4g", SpreadOf(runs).Median))
	}
	return strings.Join(all, " ")
}

func join(sizes []int) string { return strings.Trim(fmt.Sprint(sizes), "[]") }

// workCase is an operation that is measured on states of several sizes. The field sizeUnit says what the size counts;
// prepare builds a state of size n and returns the operation on it.
type workCase struct {
	name, sizeUnit string
	sizes          []int
	prepare        func(n int) (operation func())
}

// minMeasuredTime is the least processor time from which a figure is computed, so that the clock's resolution of one
// millisecond does not matter.
const minMeasuredTime = 200 * time.Millisecond

// workOf returns the processor time of one operation in microseconds, including that of the garbage collector, and the
// number of bytes that it allocates. It doubles the number of repetitions until they take minMeasuredTime.
func workOf(operation func()) (micros, allocated float64) {
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
		if took >= minMeasuredTime {
			return float64(took.Microseconds()) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
		}
	}
}

// processorTime returns the user and system time that the process has used since its start.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call fails only if its address or its first argument is invalid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// PrintWork prints the processor time of operations on states of several sizes and the bytes that they allocate. It
// measures each case repeat times at each size. If only is not empty, just the case of this name is measured.
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
			allocated := 0.0
			for range repeat {
				var t float64
				t, allocated = workOf(operation)
				times = append(times, t)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.4g\n", c.name, c.sizeUnit, n, SpreadOf(times), allocated)
		}
	}
	return w.Flush()
}
