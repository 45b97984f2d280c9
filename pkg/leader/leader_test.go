package leader_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/leader"
)

func candidates(weights ...float64) (l []leader.Candidate) {
	for i, w := range weights {
		l = append(l, leader.Candidate{Instance: ids.InstanceID(fmt.Sprint("i", i)), Weight: w})
	}
	return l
}

// Guards against partitions that change their leader although it is still there, because another instance joined or left.
func TestOrderIsStable(t *testing.T) {
	c := qt.New(t)
	all := candidates(1, 1, 0.2, 0.5, 1, 0.2, 1)
	for i := range 50 {
		partition := fmt.Sprint("p", i)
		want := leader.Order(all, partition)
		without := slices.DeleteFunc(slices.Clone(want), func(x leader.Candidate) bool { return x.Instance == "i3" })
		got := leader.Order(slices.DeleteFunc(slices.Clone(all), func(x leader.Candidate) bool { return x.Instance == "i3" }), partition)
		c.Assert(got, qt.DeepEquals, without)
	}
}

// Guards against smaller instances that lead as many partitions as larger ones, and against ones that are far smaller, or have no
// weight, and lead before others.
func TestWeights(t *testing.T) {
	c := qt.New(t)
	led := make(map[ids.InstanceID]int)
	const partitions = 4000
	for i := range partitions {
		order := leader.Order(candidates(0.8, 0.5, 0.2, 0), fmt.Sprint("p", i))
		led[order[0].Instance]++
		c.Assert(order[2].Instance, qt.Equals, ids.InstanceID("i2"))
		c.Assert(order[3].Instance, qt.Equals, ids.InstanceID("i3"))
	}
	// The expected share of the larger one is 8 of 13.
	c.Assert(led["i0"] > partitions*55/100 && led["i0"] < partitions*68/100, qt.IsTrue, qt.Commentf("%v", led))
}
