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

// faultyStore is a store whose writes of the current configuration meet one
// fault after the other. mu guards faults, late and down.
type faultyStore struct {
	*standin.Store
	mu       sync.Mutex
	faults   []fault
	late     []func()
	down     bool
	overtake func() // another operator's whole apply
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
	gone := problem.New(problem.Interrupted, problem.StepStoreWrite, "", "connection lost")
	switch s.next() {
	case lost:
		_, _ = put()
		return 0, gone
	case overtake:
		_, _ = put()
		s.overtake()
		return 0, gone
	case delayed:
		s.mu.Lock()
		s.late = append(s.late, func() { _, _ = put() })
		s.mu.Unlock()
		return 0, gone
	case dropped:
		return 0, gone
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

// landLate lets the delayed writes reach the store.
func (s *faultyStore) landLate() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, put := range late {
		put()
	}
}
