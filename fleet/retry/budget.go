package retry

import "sync"

// maxTokens is the capacity of the bucket. It bounds a burst of retries.
const maxTokens = 10

// Budget is a token bucket. Each request adds a fraction of a token, each retry
// takes one. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

// NewBudget returns a budget that allows retries for the given fraction of
// requests, 0 to 1. The bucket starts with that fraction of its capacity.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: ratio * maxTokens} }

// SetRatio sets the fraction of requests for which retries are allowed, 0 to 1.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// Deposit adds the tokens for a request that is sent for the first time.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// TryWithdraw takes a token for a retry. It returns false if there is none left
// and the request must not be sent again.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
