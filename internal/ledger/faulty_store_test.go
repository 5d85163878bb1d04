package ledger_test

import (
	"context"
	"strings"
	"time"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// faultyStore is one entry's connection to the platform's store. Its calls meet
// the active faults.
type faultyStore struct {
	platform.Store
	lessor platform.Lessor
	entry  string
	faults *faults
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv api.KeyValue, err error) {
	if err := s.faults.before(s.entry); err != nil {
		return kv, err
	}
	if s.faults.get(func(f *faults) bool { return f.failAnswers }) && strings.Contains(key, "/answers/") {
		return kv, problem.New(problem.Timeout, problem.StepStoreRead, "platform", "silent")
	}
	kv, err = s.Store.Get(ctx, key)
	if lost := s.faults.after(ctx, s.entry, false); lost != nil {
		return kv, lost
	}
	return kv, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) (l api.Listing, err error) {
	if err := s.faults.before(s.entry); err != nil {
		return l, err
	}
	l, err = s.Store.List(ctx, prefix)
	if lost := s.faults.after(ctx, s.entry, false); lost != nil {
		return l, lost
	}
	return l, err
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, c platform.Condition, lease platform.LeaseID) (uint64, error) {
	if err := s.faults.before(s.entry); err != nil {
		return 0, err
	}
	if s.faults.get(func(f *faults) bool { return f.noVersionCheck }) {
		c = platform.Any()
	}
	version, err := s.Store.Put(ctx, key, value, c, lease)
	if lost := s.faults.after(ctx, s.entry, true); lost != nil {
		return 0, lost
	}
	return version, err
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.faults.before(s.entry); err != nil {
		return "", err
	}
	id, err := s.lessor.Grant(ctx, ttl)
	if lost := s.faults.after(ctx, s.entry, true); lost != nil {
		return "", lost
	}
	return id, err
}

func (s *faultyStore) Renew(ctx context.Context, id platform.LeaseID) error {
	return s.lessor.Renew(ctx, id)
}

func (s *faultyStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	return s.lessor.Revoke(ctx, id)
}

func (s *faultyStore) Delete(ctx context.Context, key string, c platform.Condition) error {
	if err := s.faults.before(s.entry); err != nil {
		return err
	}
	err := s.Store.Delete(ctx, key, c)
	if lost := s.faults.after(ctx, s.entry, true); lost != nil {
		return lost
	}
	return err
}
