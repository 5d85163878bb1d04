package poolmanager

import (
	"context"
	"sync"
)

// inFlight counts orders or saves that have no result yet. mu guards count and idle.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count becomes 0; nil: no goroutine waits
}

func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlight) remove() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns when none is in flight or ctx ends.
func (f *inFlight) wait(ctx context.Context) {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-idle:
	}
}
