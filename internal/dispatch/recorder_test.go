package dispatch_test

import (
	"sync"
	"time"

	"persimmonbay/internal/fleet"
)

// testRecorder counts what a dispatcher records. mu guards its counts.
type testRecorder struct {
	mu      sync.Mutex
	started int
	refused int
	longest time.Duration // longest wait of a refused request
}

// RecordWait implements dispatch.Recorder.
func (r *testRecorder) RecordWait(_ string, _ fleet.Class, started bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started {
		r.started++
		return
	}
	r.refused++
	r.longest = max(r.longest, d)
}

// RecordServed implements dispatch.Recorder.
func (r *testRecorder) RecordServed(string, fleet.Class, bool, time.Duration) {}

func (r *testRecorder) counts() (started, refused int, longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started, r.refused, r.longest
}
