package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/comfreylink/comfreylink/pkg/retry"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against repeating a call that may have run and is not idempotent, one that is suspected of crashing targets, and
// one whose retry would miss its deadline.
func TestDecide(t *testing.T) {
	ok := retry.Failure{Idempotent: true, Sent: true, Attempts: 1, Deadline: epoch.Add(time.Minute)}
	for name, test := range map[string]struct {
		change func(f *retry.Failure)
		want   retry.Reason
	}{
		"idempotent":    {func(*retry.Failure) {}, ""},
		"notSent":       {func(f *retry.Failure) { f.Idempotent, f.Sent = false, false }, ""},
		"notIdempotent": {func(f *retry.Failure) { f.Idempotent = false }, retry.NotIdempotent},
		"quarantined":   {func(f *retry.Failure) { f.Quarantined, f.Sent = true, false }, retry.Quarantined},
		"attempts":      {func(f *retry.Failure) { f.Attempts = 4 }, retry.Attempts},
		"deadline":      {func(f *retry.Failure) { f.Deadline = epoch }, retry.Deadline},
		"notBefore":     {func(f *retry.Failure) { f.NotBefore = f.Deadline }, retry.Deadline},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := ok
			test.change(&f)
			at, why := retry.NewBudget(retry.DefaultOptions()).Decide(epoch, f, rand.New(rand.NewPCG(1, 1)))
			c.Assert(why, qt.Equals, test.want)
			c.Assert(at.IsZero(), qt.Equals, why != "")
		})
	}
}

// Guards against retries that multiply the load on a failing pool, and against waits that exceed their limit.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retry.DefaultOptions()
		b := retry.NewBudget(o)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		requests, retries := []int{0}, []int{0} // running counts
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			n, r := requests[len(requests)-1], retries[len(retries)-1]
			if rapid.Bool().Draw(t, "request") {
				b.Request()
				n++
			} else {
				f := retry.Failure{Idempotent: true, Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Deadline: epoch.Add(time.Hour)}
				at, why := b.Decide(epoch, f, random)
				if why == "" {
					r++
				}
				if at.Sub(epoch) > o.InitialBackoff<<(f.Attempts-1) {
					t.Fatalf("wait of %v after %d attempts exceeds its limit", at.Sub(epoch), f.Attempts)
				}
			}
			requests, retries = append(requests, n), append(retries, r)
		}
		last := len(requests) - 1
		for i := range requests {
			n, r := requests[last]-requests[i], retries[last]-retries[i]
			if float64(r) > o.Share*float64(n)+o.Reserve+1e-6 {
				t.Fatalf("%d retries of %d requests exceed the budget", r, n)
			}
		}
	})
}
