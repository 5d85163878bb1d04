package bench

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	standinplatform "persimmonbay/internal/standin/platform"
)

// The platform's limit on writes.
const (
	platformWrites = 300 // per second
	platformBurst  = 30
)

// slowStore delays every call by latency and limits writes as the platform does.
// It counts calls.
type slowStore struct {
	platform.Store
	lessor        platform.Lessor
	latency       time.Duration
	writeLimit    *rate.Limiter
	writes, reads atomic.Int64
}

func newSlowStore(store *standinplatform.Store, latency time.Duration) *slowStore {
	return &slowStore{Store: store, lessor: store, latency: latency, writeLimit: rate.NewLimiter(platformWrites, platformBurst)}
}

// write waits for the write limit and then for the latency.
func (s *slowStore) write(ctx context.Context) error {
	if err := s.writeLimit.Wait(ctx); err != nil {
		return err
	}
	s.writes.Add(1)
	time.Sleep(s.latency)
	return nil
}

func (s *slowStore) Get(ctx context.Context, key string) (api.KeyValue, error) {
	s.reads.Add(1)
	time.Sleep(s.latency)
	return s.Store.Get(ctx, key)
}

func (s *slowStore) List(ctx context.Context, prefix string) (api.Listing, error) {
	s.reads.Add(1)
	time.Sleep(s.latency)
	return s.Store.List(ctx, prefix)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, c platform.Condition, lease platform.LeaseID) (uint64, error) {
	if err := s.write(ctx); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, c, lease)
}

func (s *slowStore) Delete(ctx context.Context, key string, c platform.Condition) error {
	if err := s.write(ctx); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, c)
}
