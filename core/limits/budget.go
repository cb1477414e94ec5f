package limits

// Budget bounds retries to a share of the requests, after a reserve. The zero value
// allows no retry; see [NewBudget].
type Budget struct {
	share, most, tokens float64
}

// NewBudget returns a budget that allows share retries per request, and a reserve of
// most retries at once.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, tokens: most}
}

// Request counts a request, which earns its share of a retry.
func (b *Budget) Request() { b.tokens = min(b.most, b.tokens+b.share) }

// Retry takes one retry, and returns false when there is none left.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
