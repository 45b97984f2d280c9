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

// Workspace is a workspace that takes part in the load.
type Workspace struct {
	ID ids.WorkspaceID
	// Share is the workspace's share of the programs, relative to the shares of the other workspaces.
	Share float64
	// Weight is the workspace's weight in fair scheduling.
	Weight int
}

// Options describe a load.
type Options struct {
	Seed uint64
	// Rate is the number of programs that all workspaces together start in a second, before NoisyFactor is applied.
	Rate float64
	// Duration is the time during which programs start.
	Duration time.Duration
	// Workspaces start programs in proportion to their shares.
	Workspaces []Workspace
	// Noisy is a workspace that starts NoisyFactor times as many programs as its share; empty for none.
	Noisy       ids.WorkspaceID
	NoisyFactor float64
	// Speed divides the pauses. The engines of the run divide their durations by the same factor.
	Speed float64
}

// Turn is one model call of a program, with the pause, the service call and the sub-agents that precede it.
type Turn struct {
	// Pause is the time that the program's tool takes before the model call.
	Pause time.Duration
	// Tool reports whether the program makes a non-idempotent call to a service after the pause.
	Tool bool
	// PromptTokens is the length of the new messages, AnswerTokens the length of the answer.
	PromptTokens int
	AnswerTokens int
	// SubAgents holds one turn for each sub-agent. They run concurrently before the model call.
	SubAgents []Turn
}

// Program is one program of the load.
type Program struct {
	ID        string
	Workspace ids.WorkspaceID
	// Start is the time from the beginning of the run to the first turn.
	Start time.Duration
	Turns []Turn
}

// Parameters of the random programs. They are assumptions about agent programs of small firms: most programs have a few
// turns of a few hundred tokens, some have many turns, and one turn in five has sub-agents. Lengths are in tokens; their
// logarithm is normally distributed.
const (
	meanExtraTurns     = 4
	maxTurns           = 24
	medianPrompt       = 300
	medianAnswer       = 90
	lengthSigma        = 0.7 // standard deviation of the logarithm of a length
	maxPrompt          = 4000
	maxAnswer          = 600
	meanPause          = 2 * time.Second
	toolShare          = 0.3
	subAgentShare      = 0.2
	maxSubAgents       = 3
	systemPromptTokens = 600
	minMessageTokens   = 8
)

// Generate returns the programs in the order of their start. Equal options generate equal programs.
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
				Turns:     generateTurns(random, o.Speed),
			})
		}
	}
	slices.SortFunc(programs, func(a, b Program) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return programs
}

// generateTurns returns the turns of one program. The first turn begins at once and also has the system prompt.
func generateTurns(random *rand.Rand, speed float64) []Turn {
	n := min(maxTurns, 1+int(random.ExpFloat64()*meanExtraTurns))
	all := make([]Turn, 0, n)
	for i := range n {
		t := generateTurn(random, speed)
		if i == 0 {
			t.Pause, t.Tool = 0, false
			t.PromptTokens += systemPromptTokens
		}
		if i > 0 && random.Float64() < subAgentShare {
			for range 1 + random.IntN(maxSubAgents) {
				t.SubAgents = append(t.SubAgents, generateTurn(random, speed))
			}
		}
		all = append(all, t)
	}
	return all
}

// generateTurn returns a turn without sub-agents.
func generateTurn(random *rand.Rand, speed float64) Turn {
	pause := random.ExpFloat64() * float64(meanPause) / speed
	return Turn{
		Pause:        time.Duration(pause),
		Tool:         random.Float64() < toolShare,
		PromptTokens: randomLength(random, medianPrompt, maxPrompt),
		AnswerTokens: randomLength(random, medianAnswer, maxAnswer),
	}
}

// randomLength returns a log-normally distributed length between minMessageTokens and limit.
func randomLength(random *rand.Rand, median, limit int) int {
	x := float64(median) * math.Exp(lengthSigma*random.NormFloat64())
	return min(limit, max(minMessageTokens, int(x)))
}
