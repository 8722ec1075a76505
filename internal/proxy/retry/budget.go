package retry

import "sync"

const (
	// budgetCapacity is the maximum number of unused retries that a budget
	// accumulates.
	budgetCapacity = 10.0
	// retryCost is the number of tokens that one retry takes from the budget.
	retryCost = 1.0
)

// Budget is a token bucket: each request adds a fraction of a token, each retry takes
// a whole one. In the long run this bounds retries to that fraction of the requests,
// however many of them fail. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

// NewBudget returns a full budget for retries up to ratio (0 to 1) of the
// requests. With a ratio of 0 there are no retries at all.
func NewBudget(ratio float64) *Budget {
	budget := &Budget{ratio: ratio}
	if ratio > 0 {
		budget.tokens = budgetCapacity
	}
	return budget
}

// Deposit counts one request. It must not be called for retries.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, budgetCapacity)
}

// Withdraw takes one retry from the budget, or reports false when it is empty.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}
