package request

import "persimmonbay/internal/shard"

// Limits of the retries of one service.
const (
	RetryShare      = 0.2 // retries per request, in the long run
	initialRetries  = 32  // retries available before the first request
	maxSavedRetries = 100 // retries that can be saved up
)

// RetryBudget limits retries to a share of the requests of each service: a token
// bucket to which every request adds a fraction of a token and from which every
// retry takes a whole one. It is sharded by service, each shard under its own
// lock. A nil budget allows every retry.
type RetryBudget struct {
	share  float64
	tokens *shard.Map[string, float64]
}

// NewRetryBudget returns a budget of share retries per request.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: shard.NewMap[string, float64]()}
}

// Earn adds the tokens for one request to service.
func (b *RetryBudget) Earn(service string) {
	if b == nil {
		return
	}
	b.tokens.Update(service, func(saved float64, ok bool) (float64, bool) {
		return min(savedOrInitial(saved, ok)+b.share, maxSavedRetries), true
	})
}

// Spend takes the token for one retry on service, and reports whether the retry
// is allowed.
func (b *RetryBudget) Spend(service string) (allowed bool) {
	if b == nil {
		return true
	}
	b.tokens.Update(service, func(saved float64, ok bool) (float64, bool) {
		saved = savedOrInitial(saved, ok)
		if allowed = saved >= 1; allowed {
			saved--
		}
		return saved, true
	})
	return allowed
}

// savedOrInitial returns the saved tokens, or those of a service without an entry.
func savedOrInitial(saved float64, ok bool) float64 {
	if ok {
		return saved
	}
	return initialRetries
}
