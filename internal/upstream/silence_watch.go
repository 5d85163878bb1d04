package upstream

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// silenceWatch watches the connection of one request and calls onSilence, at most
// once, when no byte was received on it for limit. mu guards timer and stopped.
type silenceWatch struct {
	clock     clockwork.Clock
	progress  func() time.Time // time of the latest progress; zero without a connection
	onSilence func()
	limit     time.Duration

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// start starts the watch.
func (w *silenceWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = w.clock.AfterFunc(w.limit, w.check)
}

// check calls onSilence when limit has passed without progress, and otherwise
// sets the timer for the next check.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	last := w.progress()
	if last.IsZero() {
		w.timer.Reset(w.limit)
		return
	}
	if left := w.limit - w.clock.Since(last); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.stopped = true
	w.onSilence()
}

// stop ends the watch; onSilence is not called any more.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
