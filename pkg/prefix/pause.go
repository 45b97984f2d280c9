// Package prefix decides how long engines keep the cached prefixes of programs: during a pause for a tool, after the end of
// the program, and when no owner knows the program (requirement R4).
package prefix

import (
	"math"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

const (
	// shortestPause is the upper bound of the first bucket. The bound doubles with each bucket, so the last one ends at
	// 23 hours.
	shortestPause = 10 * time.Millisecond
	buckets       = 24
	// decay is the factor by which the weight of earlier pauses is reduced when one is added. About the last 50 count.
	decay = 0.98
	// minWeight is the total weight of pauses below which a histogram is not used.
	minWeight = 3
	// maxTools bounds the memory of a Learner at about 1 MB.
	maxTools = 4096
)

// toolKey identifies a tool of a workspace.
type toolKey struct {
	workspace ids.WorkspaceID
	name      string
}

// pauses is a histogram of pause lengths in which the weight of old pauses decays.
type pauses struct {
	weight  [buckets]float64
	total   float64
	lastUse time.Time
}

// Learner learns how long the pauses of programs are, for each workspace and tool.
type Learner struct{ tools map[toolKey]*pauses }

// NewLearner returns a learner without observations.
func NewLearner() *Learner { return &Learner{tools: make(map[toolKey]*pauses)} }

// upperBound returns the longest pause of a bucket.
func upperBound(bucket int) time.Duration { return shortestPause << bucket }

// bucketOf returns the bucket of a pause.
func bucketOf(d time.Duration) int {
	if d <= shortestPause {
		return 0
	}
	return min(int(math.Ceil(math.Log2(float64(d)/float64(shortestPause)))), buckets-1)
}

// Observe records the length of a pause that ended.
func (l *Learner) Observe(now time.Time, ws ids.WorkspaceID, name string, pause time.Duration) {
	k := toolKey{ws, name}
	p := l.tools[k]
	if p == nil {
		l.evict()
		p = &pauses{}
		l.tools[k] = p
	}
	p.lastUse = now
	for i := range p.weight {
		p.weight[i] *= decay
	}
	p.weight[bucketOf(pause)]++
	p.total = p.total*decay + 1
}

// evict removes the least recently used tool if there are maxTools.
func (l *Learner) evict() {
	if len(l.tools) < maxTools {
		return
	}
	var oldest toolKey
	var at time.Time
	for k, p := range l.tools {
		if at.IsZero() || p.lastUse.Before(at) {
			oldest, at = k, p.lastUse
		}
	}
	delete(l.tools, oldest)
}

// Quantile returns an upper bound of the q-quantile of the pauses, and whether enough pauses were observed.
func (l *Learner) Quantile(ws ids.WorkspaceID, name string, q float64) (d time.Duration, ok bool) {
	p := l.tools[toolKey{ws, name}]
	if p == nil || p.total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, w := range p.weight {
		if sum += w; sum >= q*p.total {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}

// Pause describes a program that waits for a tool.
type Pause struct {
	Workspace ids.WorkspaceID
	Tool      string
	// Tokens is the length of the program's prefix.
	Tokens ids.Tokens
	// Capacity is the size of the engine's cache in tokens, and Used the share of it that is in use, from 0 to 1.
	Capacity ids.Tokens
	Used     float64
	// PrefillRate is the engine's prefill rate in tokens per second.
	PrefillRate float64
}

const (
	// scarceUsage is the share of a cache in use from which a held prefix displaces others.
	scarceUsage = 0.8
	// MaxHold bounds every hold, so that the memory of a program that never continues is freed.
	MaxHold = 30 * time.Minute
)

// Hold returns how long to keep the prefix from the start of the pause.
//
// Keeping a prefix costs its share of the cache for the time that it is kept. Dropping it too early costs another prefill.
// Both costs are measured in seconds of the whole engine, and Hold minimizes their expected sum over the learned pauses.
// Without enough of these it keeps the prefix until both costs are equal, which costs at most twice the minimum.
func (l *Learner) Hold(p Pause) time.Duration {
	if p.Capacity <= 0 || p.PrefillRate <= 0 || p.Used < scarceUsage {
		return MaxHold
	}
	breakEven := seconds(float64(p.Capacity) / p.PrefillRate)
	learned := l.tools[toolKey{p.Workspace, p.Tool}]
	if learned == nil || learned.total < minWeight {
		return min(breakEven, MaxHold)
	}
	cacheShare := float64(p.Tokens) / float64(p.Capacity)
	prefill := float64(p.Tokens) / p.PrefillRate
	best, bestCost := time.Duration(0), prefill*learned.total
	// Of the pauses that end within the hold, kept is the weighted sum in seconds and returned is the total weight.
	kept, returned := 0.0, 0.0
	for i, w := range learned.weight {
		hold := upperBound(i)
		kept += w * hold.Seconds()
		returned += w
		rest := learned.total - returned
		if cost := cacheShare*(kept+rest*hold.Seconds()) + rest*prefill; cost < bestCost {
			best, bestCost = hold, cost
		}
	}
	return min(best, MaxHold)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
