package configstore_test

import (
	"context"
	"sync"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

// faultyStore is a store that applies the faults in order, one to each write of
// the current configuration. mu guards faults, delayed and down.
type faultyStore struct {
	*standin.Store
	mu       sync.Mutex
	faults   []fault
	delayed  []func() // writes that have not reached the store
	down     bool
	overtake func() // applies another operator's configuration
}

func (s *faultyStore) Get(ctx context.Context, key string) (api.KeyValue, error) {
	if s.isDown() {
		return api.KeyValue{}, problem.New(problem.Unavailable, problem.StepStoreRead, "", "outage")
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, condition platform.Condition, lease platform.LeaseID) (uint64, error) {
	if s.isDown() {
		return 0, problem.New(problem.Unavailable, problem.StepStoreWrite, "", "outage")
	}
	if key != configstore.CurrentKey {
		return s.Store.Put(ctx, key, value, condition, lease)
	}
	put := func() (uint64, error) { return s.Store.Put(context.Background(), key, value, condition, lease) }
	lostResponse := problem.New(problem.Interrupted, problem.StepStoreWrite, "", "connection lost")
	switch s.next() {
	case lost:
		_, _ = put()
		return 0, lostResponse
	case overtake:
		_, _ = put()
		s.overtake()
		return 0, lostResponse
	case delayed:
		s.mu.Lock()
		s.delayed = append(s.delayed, func() { _, _ = put() })
		s.mu.Unlock()
		return 0, lostResponse
	case dropped:
		return 0, lostResponse
	case refused:
		return 0, problem.New(problem.Unavailable, problem.StepStoreWrite, "", "outage")
	}
	return put()
}

func (s *faultyStore) next() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return healthy
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *faultyStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *faultyStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// applyDelayed makes the delayed writes reach the store.
func (s *faultyStore) applyDelayed() {
	s.mu.Lock()
	writes := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, put := range writes {
		put()
	}
}
