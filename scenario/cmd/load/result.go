package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/scenario/caller"
)

// result is the result of one measurement. Latencies are in milliseconds of real time, while the stand-in engines run faster
// than real ones by the factor Options.Speed.
type result struct {
	Options options `json:"options"`
	Policy  string  `json:"policy"`
	Seconds float64 `json:"seconds"`
	// Finished and Failed count programs. Latency is that of finished programs.
	Finished int         `json:"finished"`
	Failed   int         `json:"failed"`
	Latency  percentiles `json:"programLatencyMs"`
	// First is the time to the first part of a model's answer.
	First percentiles `json:"firstPartMs"`
	// Workspaces holds the results by workspace.
	Workspaces map[ids.WorkspaceID]workspaceResult `json:"workspaces"`
	// Goodput is the number of programs finished in a second.
	Goodput  float64 `json:"programsPerSecond"`
	Requests int     `json:"requests"`
	// Refused counts requests that were answered with an error, by code and run state, as in "noTarget/notRun".
	Refused map[string]int `json:"refused"`
	// Broken counts requests whose connection failed or broke before the end of the response.
	Broken int `json:"brokenConnections"`
	// PromptTokens were sent to engines, and CachedTokens of them were found in their caches.
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	// Completion is the number of generated tokens.
	Completion int64 `json:"completionTokens"`
}

type percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type workspaceResult struct {
	Finished int         `json:"finished"`
	Failed   int         `json:"failed"`
	Refused  int         `json:"refused"`
	Latency  percentiles `json:"programLatencyMs"`
}

// Histograms hold latencies in microseconds, up to ten minutes, with three significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// percentilesOf returns percentiles in milliseconds, rounded to a tenth, of a histogram in microseconds.
func percentilesOf(h *hdrhistogram.Histogram) percentiles {
	ms := func(q float64) float64 { return math.Round(float64(h.ValueAtQuantile(q))/100) / 10 }
	return percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: ms(100)}
}

// recorder collects the result while a measurement runs.
type recorder struct {
	mu          sync.Mutex
	out         result
	latency     *hdrhistogram.Histogram // of finished programs
	first       *hdrhistogram.Histogram // time to the first part of a model's answer; in knee, the latency of requests
	byWorkspace map[ids.WorkspaceID]*hdrhistogram.Histogram
}

func newRecorder(o options, policy string) *recorder {
	return &recorder{
		out:         result{Options: o, Policy: policy, Workspaces: map[ids.WorkspaceID]workspaceResult{}, Refused: map[string]int{}},
		latency:     newHistogram(),
		first:       newHistogram(),
		byWorkspace: map[ids.WorkspaceID]*hdrhistogram.Histogram{},
	}
}

func (r *recorder) programFinished(w ids.WorkspaceID, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Finished++
	_ = r.latency.RecordValue(took.Microseconds())
	if r.byWorkspace[w] == nil {
		r.byWorkspace[w] = newHistogram()
	}
	_ = r.byWorkspace[w].RecordValue(took.Microseconds())
	ws := r.out.Workspaces[w]
	ws.Finished++
	r.out.Workspaces[w] = ws
}

func (r *recorder) programFailed(w ids.WorkspaceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Failed++
	ws := r.out.Workspaces[w]
	ws.Failed++
	r.out.Workspaces[w] = ws
}

// requestEnded records the outcome of one request. Only requests of kind "chat" report latency and tokens.
func (r *recorder) requestEnded(w ids.WorkspaceID, kind string, a caller.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Requests++
	if err != nil {
		r.out.Broken++
		return
	}
	if a.Error != nil {
		r.out.Refused[a.Error.Code+"/"+a.Error.Run]++
		ws := r.out.Workspaces[w]
		ws.Refused++
		r.out.Workspaces[w] = ws
		return
	}
	if kind != "chat" {
		return
	}
	_ = r.first.RecordValue(a.TimeToHeader.Microseconds())
	r.out.PromptTokens += int64(a.Usage.Prompt)
	r.out.CachedTokens += int64(a.Usage.Details.Cached)
	r.out.Completion += int64(a.Usage.Completion)
}

// result returns the result of a measurement that took the given time.
func (r *recorder) result(took time.Duration) result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.out
	out.Seconds = math.Round(took.Seconds()*10) / 10
	out.Latency, out.First = percentilesOf(r.latency), percentilesOf(r.first)
	for w, h := range r.byWorkspace {
		ws := out.Workspaces[w]
		ws.Latency = percentilesOf(h)
		out.Workspaces[w] = ws
	}
	out.Goodput = math.Round(float64(out.Finished)/took.Seconds()*100) / 100
	return out
}

// worstAndBestP95 returns the highest and the lowest P95 latency of the workspaces except the noisy one.
func (r result) worstAndBestP95() (worst, best float64) {
	best = math.Inf(1)
	for w, ws := range r.Workspaces {
		if string(w) == r.Options.Noisy || ws.Finished == 0 {
			continue
		}
		worst, best = max(worst, ws.Latency.P95), min(best, ws.Latency.P95)
	}
	return worst, best
}

// refusedWithinRate returns the number of refused requests of the workspaces that stay within their rate, which are all
// except the noisy one.
func (r result) refusedWithinRate() (n int) {
	for w, ws := range r.Workspaces {
		if string(w) != r.Options.Noisy {
			n += ws.Refused
		}
	}
	return n
}

// row returns the row of the printed table, with the columns of reportHeader.
func (r result) row() string {
	worst, best := r.worstAndBestP95()
	cached := 100 * float64(r.CachedTokens) / float64(max(1, r.PromptTokens))
	return fmt.Sprintf("%-13s %6d %6d %8.0f %8.0f %8.0f %9.0f %9.0f %7.1f%% %8d %7d %8.2f", r.Policy, r.Finished, r.Failed,
		r.Latency.P50, r.Latency.P95, r.Latency.P99, worst, best, cached, r.refusedWithinRate(), r.Broken, r.Goodput)
}

const reportHeader = "policy        finish   fail      P50      P95      P99  worstP95   bestP95   cached  refused  broken  goodput"

// writeReport writes the results of one set of options to the directory as JSON and as text, and prints the text.
func writeReport(dir string, all []result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	o := all[0].Options
	name := fmt.Sprintf("%s-rate%g-seed%d", o.Deployment, o.Rate, o.Seed)
	for _, part := range []string{o.Noisy, o.Fault} {
		if part != "" {
			name += "-" + part
		}
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), data, 0o644); err != nil {
		return err
	}
	lines := []string{fmt.Sprintf("%s, %d daemons, %g programs/s for %s, speed %g, seed %d, noisy %q, fault %q; latencies in ms",
		o.Deployment, o.Daemons, o.Rate, o.Duration, o.Speed, o.Seed, o.Noisy, o.Fault), reportHeader}
	for _, r := range all {
		lines = append(lines, r.row())
	}
	for _, r := range all {
		if len(r.Refused) > 0 {
			lines = append(lines, fmt.Sprintf("%s refusals: %s", r.Policy, formatCounts(r.Refused)))
		}
	}
	text := strings.Join(lines, "\n") + "\n"
	fmt.Print(text)
	return os.WriteFile(filepath.Join(dir, name+".txt"), []byte(text), 0o644)
}

// formatCounts returns the names with their counts, sorted and separated by commas.
func formatCounts(m map[string]int) string {
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
