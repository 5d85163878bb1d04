package poolmanager

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/store"
)

// configurationReader reads the operators' configuration by its key, beside the watch,
// which a silent connection may hold up. Callers that wait at the same time share a read.
// mu guards waiting; turn is held during a read and guards lastSent.
type configurationReader struct {
	store     store.Store
	operators Operators
	timeout   time.Duration        // of one read
	sinceBoot func() time.Duration // suspensions included
	pause     func(length time.Duration)
	apply     func(item store.Item) (applied bool)
	config    *poolconfig.InForce

	mu      sync.Mutex
	waiting *sharedRead // not sent yet; nil: none

	turn     sync.Mutex
	lastSent time.Duration // since boot; 0: never
}

// readInterval is the shortest time between two reads of the configuration.
const readInterval = 200 * time.Millisecond

// read puts the stored configuration into force and confirms it, by a read that is sent
// after the call to read. It returns the error of the store or of ctx.
func (r *configurationReader) read(ctx context.Context) error {
	s := r.join()
	select {
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the read that is sent next.
func (r *configurationReader) join() *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = &sharedRead{done: make(chan struct{})}
		go r.send(r.waiting)
	}
	return r.waiting
}

// send makes a read once the one before it has ended and readInterval has passed.
func (r *configurationReader) send(s *sharedRead) {
	r.turn.Lock()
	defer r.turn.Unlock()
	defer close(s.done)
	if wait := r.lastSent + readInterval - r.sinceBoot(); r.lastSent > 0 && wait > 0 {
		r.pause(wait)
	}
	r.mu.Lock()
	r.waiting = nil
	r.mu.Unlock()
	r.lastSent = r.sinceBoot()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	var item store.Item
	if item, s.err = r.store.Get(ctx, r.operators.ConfigurationKey()); s.err == nil && r.apply(item) {
		r.config.Confirm(r.lastSent)
	}
}
