package hedge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreylink/comfreylink/pkg/retry"
)

// budgetShare and budgetReserve bound the calls that are made a second time: if all are slow, more calls would make them slower.
const (
	budgetShare   = 0.1
	budgetReserve = 10
)

// Budget decides which calls may be made a second time: at most a tenth, and ten more. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return NewBudgetOf(budgetReserve) }

// NewBudgetOf returns a full budget for a tenth of the calls and reserve more.
func NewBudgetOf(reserve float64) *Budget {
	return &Budget{budget: retry.NewBudget(retry.Options{Share: budgetShare, Reserve: reserve, MaxAttempts: 2})}
}

// Count counts a call.
func (b *Budget) Count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

// Allow reports whether a call may be made a second time now, and spends from the budget for that.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	failure := retry.Failure{Idempotent: true, Sent: true, Attempts: 1, Deadline: now.Add(time.Second)}
	_, why := b.budget.Decide(now, failure, rand.New(rand.NewPCG(0, 0)))
	return why == ""
}
