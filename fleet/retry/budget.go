package retry

import "sync"

// reserve is the number of retries that are permitted without any requests
// before them.
const reserve = 10

// Budget is a token bucket that requests fill and retries empty. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget returns a budget that permits retries for the given share of
// requests, 0 to 1.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: share * reserve} }

// SetRatio changes the share.
func (b *Budget) SetRatio(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit counts a request that is sent for the first time.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, reserve)
}

// TryWithdraw reports whether a request may be sent again, and counts that.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
