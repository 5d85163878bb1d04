package poolmanager

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/store"
)

// configurationReader reads the operators' configuration by its key, beside the watch,
// which a silent connection may hold up. Callers share one read. mu guards lastRead and
// lastErr.
type configurationReader struct {
	store     store.Store
	operators Operators
	timeout   time.Duration        // of one read
	sinceBoot func() time.Duration // suspensions included
	apply     func(item store.Item) (applied bool)
	config    *poolconfig.InForce
	flight    singleflight.Group

	mu       sync.Mutex
	lastRead time.Duration // when the last read was sent; 0: never
	lastErr  error
}

// readInterval is the shortest time between two reads of the configuration.
const readInterval = 200 * time.Millisecond

// read puts the stored configuration into force and confirms it, or returns the error of
// the store. Within readInterval after a read it returns the outcome of that one.
func (r *configurationReader) read(ctx context.Context) error {
	done := r.flight.DoChan("", func() (any, error) {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout)
		defer cancel()
		return nil, r.readOnce(limited)
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *configurationReader) readOnce(ctx context.Context) error {
	sent := r.sinceBoot()
	if err, recent := r.recent(sent); recent {
		return err
	}
	item, err := r.store.Get(ctx, r.operators.ConfigurationKey())
	if err == nil && r.apply(item) {
		r.config.Confirm(sent)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead, r.lastErr = sent, err
	return err
}

func (r *configurationReader) recent(now time.Duration) (err error, recent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErr, r.lastRead > 0 && now < r.lastRead+readInterval
}
