package platform_test

import (
	"context"
	"sync"
	"time"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// scriptedStore returns scripted listings and changes. When the changes are used
// up, Watch blocks until its context ends. mu guards all fields below it.
type scriptedStore struct {
	platform.Store
	mu       sync.Mutex
	listings []api.Listing
	changes  []api.Changes // one with Revision 0 makes Watch fail with kind Compacted
	afters   []uint64      // revisions that Watch was called with
	done     chan struct{} // closed when the changes are used up
}

func (s *scriptedStore) List(ctx context.Context, _ string) (api.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.listings) == 0 {
		return api.Listing{}, problem.New(problem.Unavailable, problem.StepStoreRead, "", "outage")
	}
	listing := s.listings[0]
	s.listings = s.listings[1:]
	return listing, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (api.Changes, error) {
	changes, ok := s.nextChanges(after)
	if !ok {
		<-ctx.Done()
		return api.Changes{}, ctx.Err()
	}
	if changes.Revision == 0 {
		return changes, problem.New(problem.Compacted, problem.StepStoreWatch, "", "too old")
	}
	return changes, nil
}

func (s *scriptedStore) nextChanges(after uint64) (api.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afters = append(s.afters, after)
	if len(s.changes) == 0 {
		close(s.done)
		return api.Changes{}, false
	}
	changes := s.changes[0]
	s.changes = s.changes[1:]
	return changes, true
}
