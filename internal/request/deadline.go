package request

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// deadlineExtension is how much longer a request may run whose deadline passed while this
// process was paused. Answers that have arrived are read in that time.
const deadlineExtension = 100 * time.Millisecond

// withDeadline returns a context that is cancelled at due, with the cause
// context.DeadlineExceeded, and the function that releases it. If the timer fires later than
// pauseTolerance, this process was paused or delayed, and the context ends deadlineExtension
// after that. Package context would end it at once, so that a request whose answer waits to be
// read would fail.
func withDeadline(ctx context.Context, clock clockwork.Clock, due time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	left := due.Sub(clock.Now())
	if left <= 0 {
		expire()
		return ctx, func() {}
	}
	timer := clock.AfterFunc(left, func() {
		if clock.Since(due) <= pauseTolerance {
			expire()
			return
		}
		extension := clock.AfterFunc(deadlineExtension, expire)
		context.AfterFunc(ctx, func() { extension.Stop() })
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
