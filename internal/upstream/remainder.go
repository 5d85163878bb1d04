package upstream

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
)

// remainderTimeout is how long the remainder of a large answer may make no
// progress, whether the upstream or the caller is slow.
const remainderTimeout = 30 * time.Second

// remainder reads the remainder of a large answer. It cancels the exchange when it
// makes no progress for remainderTimeout.
type remainder struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	timer  clockwork.Timer
}

func newRemainder(body io.ReadCloser, cancel context.CancelFunc, clock clockwork.Clock) *remainder {
	return &remainder{body: body, cancel: cancel, timer: clock.AfterFunc(remainderTimeout, cancel)}
}

// Read implements io.Reader.
func (r *remainder) Read(p []byte) (int, error) {
	r.timer.Reset(remainderTimeout)
	return r.body.Read(p)
}

// Close ends the exchange. Its connection is reused only when the body was read
// to its end.
func (r *remainder) Close() error {
	r.timer.Stop()
	err := r.body.Close()
	r.cancel()
	return err
}
