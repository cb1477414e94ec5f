package limits

// RetryBudget bounds the retries of one instance to a share of its requests, plus a reserve. The
// zero value allows no retry; see [NewRetryBudget].
type RetryBudget struct {
	share, reserve, tokens float64
}

// NewRetryBudget returns a budget that gains share retries per request and holds at most reserve
// retries. It starts full.
func NewRetryBudget(share, reserve float64) *RetryBudget {
	return &RetryBudget{share: share, reserve: reserve, tokens: reserve}
}

// RecordRequest counts a request, which adds its share of a retry to the budget.
func (b *RetryBudget) RecordRequest() { b.tokens = min(b.reserve, b.tokens+b.share) }

// TryRetry takes one retry from the budget. It returns false when none is left.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
