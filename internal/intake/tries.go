package intake

import (
	"context"
	"errors"
	"time"
)

// tries bounds the tries of one call to the store. A response that takes longer than
// the bound counts as lost, and the call is repeated within the caller's deadline. Each
// try without a response doubles the bound, up to maxTryTimeout, for a store that is slow.
type tries struct {
	timeout time.Duration // of the next try; 0: firstTryTimeout
}

const (
	// firstTryTimeout is many times the store's usual response time, and a small part
	// of the time for which callers wait.
	firstTryTimeout = 400 * time.Millisecond
	maxTryTimeout   = 10 * time.Second
)

// do makes one try of a call to the store.
func (t *tries) do(ctx context.Context, call func(ctx context.Context) error) error {
	if t.timeout == 0 {
		t.timeout = firstTryTimeout
	}
	limited, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	err := call(limited)
	if err != nil && errors.Is(limited.Err(), context.DeadlineExceeded) {
		t.timeout = min(2*t.timeout, maxTryTimeout)
	}
	return err
}
