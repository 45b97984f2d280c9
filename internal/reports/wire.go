package reports

import (
	"slices"
	"time"

	"github.com/comfreylink/comfreylink/pkg/ids"
	"github.com/comfreylink/comfreylink/pkg/quota"
)

// wireReport is the encoding of a report in the log.
type wireReport struct {
	Instance ids.InstanceID `json:"instance"`
	Run      string         `json:"run"`
	// Seq numbers the reports of a run, Read is the offset up to which the run had read the reports.
	Seq     uint64     `json:"seq"`
	Read    ids.Offset `json:"read"`
	AtMs    int64      `json:"atMs"`
	Address string     `json:"address"`
	Zone    ids.Zone   `json:"zone"`
	// Leaving is set once a planned stop has begun.
	Leaving bool `json:"leaving,omitempty"`
	// CPU is the instance's share of a core.
	CPU float64 `json:"cpu,omitempty"`
	// ReachesLog is false if the instance reaches the log only through others.
	ReachesLog bool `json:"reachesLog"`
	// Owned and Released are pairs of a shard and the offset of its claim. DebtsMs holds the debts of these shards in the same
	// order, if any shard has one.
	Owned    [][2]int64    `json:"owned,omitempty"`
	Claimed  []quota.Shard `json:"claimed,omitempty"`
	Released [][2]int64    `json:"released,omitempty"`
	DebtsMs  []int64       `json:"debtsMs,omitempty"`
	Deaths   []wireDeath   `json:"deaths,omitempty"`
	// Unanswered are pairs of a shard and the offset of its claim whose owner did not answer the writer's calls.
	Unanswered [][2]int64 `json:"unanswered,omitempty"`
	// Survived are requests that were suspected and have been completed.
	Survived []ids.Fingerprint `json:"survived,omitempty"`
}

type wireDeath struct {
	Fingerprint ids.Fingerprint `json:"fingerprint"`
	Target      ids.TargetID    `json:"target"`
	Born        int64           `json:"born,omitempty"`
}

func (w *wireReport) setLease(r quota.Report) {
	w.Seq, w.Read, w.Leaving, w.Claimed = r.Seq, r.Read, r.Leaving, r.Claimed
	w.Owned, w.Released = toPairs(r.Owned), toPairs(r.Released)
	for _, c := range r.Complaints {
		w.Unanswered = append(w.Unanswered, [2]int64{int64(c.Shard), int64(c.Claimed)})
	}
	shards := slices.Concat(r.Owned, r.Released)
	if slices.ContainsFunc(shards, func(o quota.Owned) bool { return o.Debt > 0 }) {
		for _, o := range shards {
			w.DebtsMs = append(w.DebtsMs, ids.Millis(o.Debt))
		}
	}
}

func (w wireReport) lease() quota.Report {
	r := quota.Report{
		Run: quota.Run{Instance: w.Instance, ID: w.Run}, Seq: w.Seq, Read: w.Read, CPU: w.CPU, Leaving: w.Leaving,
		Owned: fromPairs(w.Owned), Claimed: w.Claimed, Released: fromPairs(w.Released),
	}
	for _, p := range w.Unanswered {
		r.Complaints = append(r.Complaints, quota.Complaint{Shard: quota.Shard(p[0]), Claimed: ids.Offset(p[1])})
	}
	if len(w.DebtsMs) != len(r.Owned)+len(r.Released) {
		return r
	}
	for i := range r.Owned {
		r.Owned[i].Debt = time.Duration(w.DebtsMs[i]) * time.Millisecond
	}
	for i := range r.Released {
		r.Released[i].Debt = time.Duration(w.DebtsMs[len(r.Owned)+i]) * time.Millisecond
	}
	return r
}

func toPairs(l []quota.Owned) (pairs [][2]int64) {
	for _, o := range l {
		pairs = append(pairs, [2]int64{int64(o.Shard), int64(o.Claimed)})
	}
	return pairs
}

func fromPairs(pairs [][2]int64) (l []quota.Owned) {
	for _, p := range pairs {
		l = append(l, quota.Owned{Shard: quota.Shard(p[0]), Claimed: ids.Offset(p[1])})
	}
	return l
}
