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

// Guards against a target that starts again under its id, and whose further deaths are not counted, and against deaths that are
// recalled after they have expired.
func TestRunsOfOneTarget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tr := suspect.New()
	for born := range int64(3) {
		c.Assert(tr.MustRefuse("f"), qt.IsFalse)
		tr.RestoreDeath(now, now.Add(-time.Minute), suspect.Death{Fingerprint: "f", Target: "a", Born: born})
		tr.RestoreDeath(now, now.Add(-time.Hour), suspect.Death{Fingerprint: "old", Target: "a", Born: born})
	}
	c.Assert(tr.MustRefuse("f"), qt.IsTrue)
	c.Assert(tr.Suspected("old"), qt.IsFalse)
	tr.DropOld(now.Add(90 * time.Second))
	c.Assert(tr.Suspected("f"), qt.IsFalse)
}
