package targets

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/retry"
)

// Retries is the retry budget of an instance. It is safe for concurrent use.
type Retries struct {
	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// NewRetries returns a budget that allows a number of retries up to the given share of the requests.
func NewRetries(share float64) *Retries {
	o := retry.DefaultOptions()
	o.Share = share
	return &Retries{budget: retry.NewBudget(o), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Request counts a first attempt.
func (b *Retries) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

// Decide returns when a failed call may be repeated, or why not.
func (b *Retries) Decide(now time.Time, f retry.Failure) (at time.Time, why retry.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Decide(now, f, b.random)
}
