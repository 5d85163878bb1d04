package request

import "persimmonbay/internal/shard"

// Bounds of the retries of one service.
const (
	RetryShare   = 0.2 // retries for each first attempt, in the long run
	retryReserve = 32  // retries saved before the first request
	retrySavings = 100 // retries saved at most
)

// RetryBudget bounds retries to a share of the traffic of each service: every
// request earns a part of a retry and every retry spends a whole one. It is
// sharded by service, each shard under its own lock. A nil budget bounds
// nothing.
type RetryBudget struct {
	share  float64
	tokens *shard.Map[string, float64]
}

// NewRetryBudget returns a budget of share retries a request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: shard.NewMap[string, float64]()}
}

// Earn notes a request to service.
func (b *RetryBudget) Earn(service string) {
	if b == nil {
		return
	}
	b.tokens.Update(service, func(saved float64, ok bool) (float64, bool) {
		return min(savedOf(saved, ok)+b.share, retrySavings), true
	})
}

// Spend takes one retry of service and reports whether there was one.
func (b *RetryBudget) Spend(service string) (allowed bool) {
	if b == nil {
		return true
	}
	b.tokens.Update(service, func(saved float64, ok bool) (float64, bool) {
		saved = savedOf(saved, ok)
		if allowed = saved >= 1; allowed {
			saved--
		}
		return saved, true
	})
	return allowed
}

func savedOf(saved float64, ok bool) float64 {
	if ok {
		return saved
	}
	return retryReserve
}
