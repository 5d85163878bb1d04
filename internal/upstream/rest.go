package upstream

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
)

// restSilence is how long the remainder of a large answer may make no
// progress, whether for the upstream's or for the caller's sake.
const restSilence = 30 * time.Second

// rest is the remainder of a large answer. It breaks off when it makes no
// progress.
type rest struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	timer  clockwork.Timer
}

func newRest(body io.ReadCloser, cancel context.CancelFunc, clock clockwork.Clock) *rest {
	return &rest{body: body, cancel: cancel, timer: clock.AfterFunc(restSilence, cancel)}
}

// Read reads on.
func (r *rest) Read(p []byte) (int, error) {
	r.timer.Reset(restSilence)
	return r.body.Read(p)
}

// Close ends the answer; its connection is not used again unless it was read
// to its end.
func (r *rest) Close() error {
	r.timer.Stop()
	err := r.body.Close()
	r.cancel()
	return err
}
