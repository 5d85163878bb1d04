package intake

import (
	"context"
	"time"
)

// tries bounds the tries of one call to the store. A response that takes longer than
// the bound counts as lost, and the call is repeated within the caller's deadline.
// Each bound is twice the last one, so that a store that is slow is not called ever
// again.
type tries struct {
	timeout time.Duration // of the next try; 0: firstTryTimeout
}

// firstTryTimeout is many times the store's usual response time, and a small part of
// the time for which callers wait.
const firstTryTimeout = 400 * time.Millisecond

// next returns the context of the next try.
func (t *tries) next(ctx context.Context) (context.Context, context.CancelFunc) {
	if t.timeout == 0 {
		t.timeout = firstTryTimeout
	}
	limited, cancel := context.WithTimeout(ctx, t.timeout)
	t.timeout *= 2
	return limited, cancel
}
