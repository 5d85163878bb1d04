package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

func (s *fakeStore) Grant(context.Context, time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return store.Lease{ID: s.revision, TTL: time.Minute}, nil
}

func (s *fakeStore) Renew(ctx context.Context, _ int64) error {
	s.mu.Lock()
	s.renewals++
	mute := s.muteKeep > 0
	if mute {
		s.muteKeep--
	}
	s.mu.Unlock()
	if mute {
		<-ctx.Done()
		return problem.Wrap(problem.Timeout, problem.StepLease, "", ctx.Err())
	}
	return nil
}

// renewalsReceived returns how many renewals the store has received.
func (s *fakeStore) renewalsReceived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewals
}

func (s *fakeStore) Revoke(context.Context, int64) error { return nil }
