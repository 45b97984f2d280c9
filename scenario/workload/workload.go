// Package workload generates the programs of a load run from a seed.
package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Workspace is a workspace's part in the load.
type Workspace struct {
	ID ids.WorkspaceID
	// Share of the programs, relative to the others.
	Share float64
	// Weight in the fair share between workspaces.
	Weight int
}

// Options describe a load.
type Options struct {
	Seed uint64
	// Rate is the number of programs that start in a second, all workspaces together.
	Rate     float64
	Duration time.Duration
	// Workspaces take part according to their shares.
	Workspaces []Workspace
	// Noisy sends NoisyFactor times its share; empty for none.
	Noisy       ids.WorkspaceID
	NoisyFactor float64
	// Speed divides the pauses, as it divides the engines' durations.
	Speed float64
}

// Turn is one model call of a program, with what precedes it.
type Turn struct {
	// Pause is the time that the program's tool takes before the call.
	Pause time.Duration
	// Tool says that the pause is a non-idempotent call of a service.
	Tool bool
	// PromptTokens is the length of the new messages, AnswerTokens that of the answer.
	PromptTokens int
	AnswerTokens int
	// SubAgents are turns of sub-agents that run side by side before the call.
	SubAgents []Turn
}

// Program is one program of the load.
type Program struct {
	ID        string
	Workspace ids.WorkspaceID
	// Start is the time after the beginning of the run.
	Start time.Duration
	Turns []Turn
}

// Shapes of programs. They are assumptions about agent programs of small firms: a few turns of a few hundred tokens, a
// long tail of turns, one in five with sub-agents.
const (
	meanExtraTurns  = 4
	maxTurns        = 24
	medianPrompt    = 300
	medianAnswer    = 90
	lengthSpread    = 0.7 // sigma of the logarithm
	maxPrompt       = 4000
	maxAnswer       = 600
	meanPause       = 2 * time.Second
	toolShare       = 0.3
	subAgentShare   = 0.2
	maxSubAgents    = 3
	systemTokens    = 600
	minMessageToken = 8
)

// Generate returns the programs in the order of their start. Equal options give equal programs.
func Generate(o Options) (programs []Program) {
	total := 0.0
	for _, w := range o.Workspaces {
		total += w.Share
	}
	for i, w := range o.Workspaces {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		rate := o.Rate * w.Share / total
		if w.ID == o.Noisy {
			rate *= o.NoisyFactor
		}
		at := 0.0
		for n := 0; ; n++ {
			at += random.ExpFloat64() / rate
			start := time.Duration(at * float64(time.Second))
			if start >= o.Duration {
				break
			}
			programs = append(programs, Program{
				ID:        fmt.Sprintf("%s-%d-%d", w.ID, o.Seed, n),
				Workspace: w.ID,
				Start:     start,
				Turns:     turns(random, o.Speed),
			})
		}
	}
	slices.SortFunc(programs, func(a, b Program) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return programs
}

func turns(random *rand.Rand, speed float64) []Turn {
	n := min(maxTurns, 1+int(random.ExpFloat64()*meanExtraTurns))
	all := make([]Turn, 0, n)
	for i := range n {
		t := turn(random, speed)
		if i == 0 {
			t.Pause, t.Tool = 0, false
			t.PromptTokens += systemTokens
		}
		if i > 0 && random.Float64() < subAgentShare {
			for range 1 + random.IntN(maxSubAgents) {
				t.SubAgents = append(t.SubAgents, turn(random, speed))
			}
		}
		all = append(all, t)
	}
	return all
}

func turn(random *rand.Rand, speed float64) Turn {
	pause := random.ExpFloat64() * float64(meanPause) / speed
	return Turn{
		Pause:        time.Duration(pause),
		Tool:         random.Float64() < toolShare,
		PromptTokens: length(random, medianPrompt, maxPrompt),
		AnswerTokens: length(random, medianAnswer, maxAnswer),
	}
}

func length(random *rand.Rand, median, most int) int {
	x := float64(median) * math.Exp(lengthSpread*random.NormFloat64())
	return min(most, max(minMessageToken, int(x)))
}
