// Package prefix decides how long engines keep the cached prefix of a program: while it pauses for a tool, after it
// ended, and when nobody knows it any more (R4).
package prefix

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// shortestPause is the upper edge of the first bucket; each bucket is twice as long as the one before, so the last
	// of buckets ends at 23 hours.
	shortestPause = 10 * time.Millisecond
	buckets       = 24
	// forget is the weight that earlier pauses keep when one is added; about the last 50 count.
	forget = 0.98
	// enough is the weight of pauses below which the learner does not rely on them.
	enough = 3
	// maxTools bounds the learner's memory at about 1 MB.
	maxTools = 4096
)

type tool struct {
	workspace ids.WorkspaceID
	name      string
}

// pauses is a histogram that forgets.
type pauses struct {
	weight  [buckets]float64
	total   float64
	lastUse time.Time
}

// Learner learns the length of the pauses of each workspace and tool.
type Learner struct{ tools map[tool]*pauses }

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{tools: make(map[tool]*pauses)} }

func edge(bucket int) time.Duration { return shortestPause << bucket }

func bucketOf(d time.Duration) int {
	if d <= shortestPause {
		return 0
	}
	return min(int(math.Ceil(math.Log2(float64(d)/float64(shortestPause)))), buckets-1)
}

// Observe adds a pause that ended.
func (l *Learner) Observe(now time.Time, ws ids.WorkspaceID, name string, pause time.Duration) {
	k := tool{ws, name}
	p := l.tools[k]
	if p == nil {
		l.makeRoom()
		p = &pauses{}
		l.tools[k] = p
	}
	p.lastUse = now
	for i := range p.weight {
		p.weight[i] *= forget
	}
	p.weight[bucketOf(pause)]++
	p.total = p.total*forget + 1
}

// makeRoom forgets the tool that was unused for the longest time when there are too many.
func (l *Learner) makeRoom() {
	if len(l.tools) < maxTools {
		return
	}
	var oldest tool
	var at time.Time
	for k, p := range l.tools {
		if at.IsZero() || p.lastUse.Before(at) {
			oldest, at = k, p.lastUse
		}
	}
	delete(l.tools, oldest)
}

// Quantile returns the length that the share q of the pauses does not exceed, and whether enough pauses were seen.
func (l *Learner) Quantile(ws ids.WorkspaceID, name string, q float64) (d time.Duration, ok bool) {
	p := l.tools[tool{ws, name}]
	if p == nil || p.total < enough {
		return 0, false
	}
	sum := 0.0
	for i, w := range p.weight {
		if sum += w; sum >= q*p.total {
			return edge(i), true
		}
	}
	return edge(buckets - 1), true
}

// Pause describes a program that waits for a tool.
type Pause struct {
	Workspace ids.WorkspaceID
	Tool      string
	// Tokens is the length of the program's prefix.
	Tokens ids.Tokens
	// Capacity is the size of the engine's cache in tokens, and Used the part of it in use, from 0 to 1.
	Capacity ids.Tokens
	Used     float64
	// PrefillRate is the engine's, in tokens a second.
	PrefillRate float64
}

const (
	// scarce is the used part of a cache from which a held prefix costs others their place.
	scarce = 0.8
	// MaxHold bounds every hold, so that a program that never comes back frees its memory.
	MaxHold = 30 * time.Minute
)

// Hold returns how long to keep the prefix from the start of the pause.
//
// Both costs are in seconds of the whole engine: a kept prefix takes its share of the cache for the time that it is
// kept, and one that was dropped too early has to be prefilled again. Hold minimizes the expected sum over the learnt
// pauses. Without enough of them it keeps the prefix until both costs are equal, which is at most twice the best.
func (l *Learner) Hold(p Pause) time.Duration {
	if p.Capacity <= 0 || p.PrefillRate <= 0 || p.Used < scarce {
		return MaxHold
	}
	equal := seconds(float64(p.Capacity) / p.PrefillRate)
	learnt := l.tools[tool{p.Workspace, p.Tool}]
	if learnt == nil || learnt.total < enough {
		return min(equal, MaxHold)
	}
	rate := float64(p.Tokens) / float64(p.Capacity)
	prefill := float64(p.Tokens) / p.PrefillRate
	best, bestCost := time.Duration(0), prefill*learnt.total
	kept, returned := 0.0, 0.0 // weighted seconds of the pauses that end within the hold, and their weight
	for i, w := range learnt.weight {
		hold := edge(i)
		kept += w * hold.Seconds()
		returned += w
		rest := learnt.total - returned
		if cost := rate*(kept+rest*hold.Seconds()) + rest*prefill; cost < bestCost {
			best, bestCost = hold, cost
		}
	}
	return min(best, MaxHold)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
