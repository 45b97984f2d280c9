package suspect_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/suspect"
)

// Guards against a request that crashes one target after the other without being refused, and against refusing a request
// that only ran next to it.
func TestTracker(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tr := suspect.New()
	for i, id := range []ids.TargetID{"a", "b", "b", "c"} {
		c.Assert(tr.MustRefuse("crashing"), qt.IsFalse, qt.Commentf("after %d deaths", i))
		tr.ReportDeath(now, suspect.Death{Fingerprint: "crashing", Target: id})
		tr.ReportDeath(now, suspect.Death{Fingerprint: "innocent", Target: id})
		if id == "b" {
			tr.Survived("innocent")
		}
	}
	c.Assert(tr.MustRefuse("crashing"), qt.IsTrue)
	c.Assert(tr.MustRefuse("innocent"), qt.IsFalse)
	tr.DropOld(now.Add(time.Hour))
	c.Assert(tr.MustRefuse("crashing"), qt.IsFalse)
}
