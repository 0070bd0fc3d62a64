package caller

import "sync"

// The sizes of retry budgets, in hundredths of a retry.
const (
	retryCost         = 100
	retryCredit       = 10
	accountBudgetSize = 64 * retryCost
	serverBudgetSize  = 16 * retryCost
	maxBudgets        = 8192
)

// retryBudgets holds how much of the retry budget of each account or server is
// spent. Each first attempt earns a tenth of a retry. In the zero value all
// budgets are full.
type retryBudgets[K comparable] struct {
	mu    sync.Mutex
	spent map[K]int
}

// credit credits a first attempt.
func (b *retryBudgets[K]) credit(key K) {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent, ok := b.spent[key]
	if !ok {
		return
	}
	if spent <= retryCredit {
		delete(b.spent, key)
		return
	}
	b.spent[key] = spent - retryCredit
}

// spend takes one retry from the budget and reports whether it was available.
func (b *retryBudgets[K]) spend(key K, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent, ok := b.spent[key]
	if spent+retryCost > size || !ok && len(b.spent) >= maxBudgets {
		return false
	}
	if b.spent == nil {
		b.spent = make(map[K]int)
	}
	b.spent[key] = spent + retryCost
	return true
}
