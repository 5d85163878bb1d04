package upstream

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// silenceWatch judges the connection of one request by its own progress: when
// no byte came for limit, suspect is called, once. mu guards timer and stopped.
type silenceWatch struct {
	clock    clockwork.Clock
	progress func() time.Time // zero: no connection yet
	suspect  func()
	limit    time.Duration

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

func (w *silenceWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = w.clock.AfterFunc(w.limit, w.judge)
}

func (w *silenceWatch) judge() {
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
	w.suspect()
}

func (w *silenceWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
