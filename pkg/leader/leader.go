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

// Member is an instance that may act for others. One with a weight of 0 does not reach the log.
type Member struct {
	Candidate
	Address string
	Zone    ids.Zone
}

// smallFraction is the fraction of the largest weight below which a candidate leads only if no larger one is left. A leader
// works for many instances, and one that is too small for that slows all of them down.
const smallFraction = 0.5

// Order sorts the candidates by preference for a partition, by weighted rendezvous hashing: if a candidate joins or leaves,
// the order of the others stays. Small candidates come after the others.
func Order(list []Candidate, partition string) []Candidate {
	type scored struct {
		Candidate
		small int // 1 for a small candidate
		cost  float64
	}
	largest := 0.0
	for _, c := range list {
		largest = max(largest, c.Weight)
	}
	l := make([]scored, 0, len(list))
	for _, c := range list {
		s := scored{Candidate: c, cost: cost(c, partition)}
		if c.Weight < smallFraction*largest {
			s.small = 1
		}
		l = append(l, s)
	}
	slices.SortFunc(l, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.small, b.small), cmp.Compare(a.cost, b.cost), cmp.Compare(a.Instance, b.Instance))
	})
	ordered := make([]Candidate, 0, len(l))
	for _, c := range l {
		ordered = append(ordered, c.Candidate)
	}
	return ordered
}

// OrderMembers sorts members as Order sorts their candidates.
func OrderMembers(list []Member, partition string) (ordered []Member) {
	byID := make(map[ids.InstanceID]Member, len(list))
	candidates := make([]Candidate, 0, len(list))
	for _, m := range list {
		byID[m.Instance] = m
		candidates = append(candidates, m.Candidate)
	}
	for _, c := range Order(candidates, partition) {
		ordered = append(ordered, byID[c.Instance])
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
