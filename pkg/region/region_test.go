package region_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/region"
)

// Guards against a request that runs in a region which only one of its lists allows or in a zone without a known region, and
// against a restriction that allows nothing and is taken for none.
func TestZones(t *testing.T) {
	m := region.Map{"z1": "eu", "z2": "eu", "z3": "us", "z4": "asia"}
	for _, test := range []struct {
		lists [][]string
		want  []ids.Zone
	}{
		{nil, nil},
		{[][]string{nil, {}}, nil},
		{[][]string{{"eu"}, nil}, []ids.Zone{"z1", "z2"}},
		{[][]string{{"eu", "us"}, {"us", "asia"}}, []ids.Zone{"z3"}},
		{[][]string{{"eu"}, {"us"}}, []ids.Zone{}},
		{[][]string{{"nowhere"}}, []ids.Zone{}},
	} {
		qt.Check(t, m.Zones(test.lists...), qt.DeepEquals, test.want, qt.Commentf("%v", test.lists))
	}
	qt.Check(t, m.Allows("z9"), qt.IsTrue)
	qt.Check(t, m.Allows("z9", []string{"eu"}), qt.IsFalse)
	qt.Check(t, m.Allows("z9", []string{""}), qt.IsFalse)
	qt.Check(t, region.Map(nil).Zones([]string{"eu"}), qt.DeepEquals, []ids.Zone{})
}
