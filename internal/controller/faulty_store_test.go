package controller_test

import (
	"context"
	"math/rand/v2"
	"time"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// faultyStore is one entry's connection to the store, with seeded faults.
type faultyStore struct {
	platform.Store
	random      *rand.Rand
	unreachable func() bool
	loseReplies float64 // share of writes that take effect but whose reply is lost
	onGet       func()  // called before and after every Get; may be nil
	writesLeft  int     // until the process crashes; negative: it does not
}

func (s *faultyStore) fault() error {
	if s.unreachable() || s.writesLeft == 0 {
		return problem.New(problem.Unavailable, problem.StepStoreWrite, "", "store unreachable")
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (api.KeyValue, error) {
	if s.onGet != nil {
		s.onGet()
		defer s.onGet()
	}
	if err := s.fault(); err != nil {
		return api.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) (api.Listing, error) {
	if err := s.fault(); err != nil {
		return api.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	if err := s.fault(); err != nil {
		return api.Changes{}, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, condition platform.Condition, lease platform.LeaseID) (uint64, error) {
	if err := s.fault(); err != nil {
		return 0, err
	}
	s.writesLeft--
	version, err := s.Store.Put(ctx, key, value, condition, lease)
	if err == nil && s.random.Float64() < s.loseReplies {
		return 0, problem.New(problem.Interrupted, problem.StepStoreWrite, "", "reply lost")
	}
	return version, err
}

func (s *faultyStore) Delete(ctx context.Context, key string, condition platform.Condition) error {
	if err := s.fault(); err != nil {
		return err
	}
	s.writesLeft--
	return s.Store.Delete(ctx, key, condition)
}
