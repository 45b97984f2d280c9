// Package leader orders the instances that may lead a partition of the log. Every instance computes the order for itself.
// Instances that know different candidates may choose different leaders, so a leader must be right without being the only
// one.
package leader

import (
	"cmp"
	"math"
	"slices"

	"github.com/comfreylink/comfreylink/pkg/ids"
)

// Candidate is an instance that may lead partitions.
type Candidate struct {
	Instance ids.InstanceID
	// Weight is the instance's share of the leadership in proportion to the weights of the others. Instances without a
	// positive weight come last.
	Weight float64
}

// Order sorts the candidates by preference for a partition, by weighted rendezvous hashing: if a candidate joins or leaves,
// the order of the others stays.
func Order(list []Candidate, partition string) []Candidate {
	type scored struct {
		Candidate
		cost float64
	}
	l := make([]scored, 0, len(list))
	for _, c := range list {
		l = append(l, scored{c, cost(c, partition)})
	}
	slices.SortFunc(l, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.Instance, b.Instance))
	})
	ordered := make([]Candidate, 0, len(l))
	for _, c := range l {
		ordered = append(ordered, c.Candidate)
	}
	return ordered
}

// cost is exponentially distributed with the candidate's weight as its rate, so the smallest cost is the candidate's with a
// probability in proportion to its weight.
func cost(c Candidate, partition string) float64 {
	if c.Weight <= 0 {
		return math.Inf(1)
	}
	uniform := (float64(ids.Rendezvous(string(c.Instance), partition)>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / c.Weight
}
