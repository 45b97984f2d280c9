package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/retry"
)

// retryBudget guards the instance's retry budget.
type retryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

func newRetryBudget(share float64) *retryBudget {
	o := retry.DefaultOptions()
	o.Share = share
	return &retryBudget{budget: retry.NewBudget(o), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

func (b *retryBudget) decide(now time.Time, f retry.Failure) (at time.Time, why retry.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Decide(now, f, b.random)
}
