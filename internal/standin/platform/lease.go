package platform

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// lease is a granted lease. ttl is immutable; the lock of the shard that holds the
// lease guards the other fields.
type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
	keys  []string // may hold keys that were rewritten without the lease since
}

// Grant implements platform.Lessor.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return "", problem.New(problem.Invalid, problem.StepLease, "", "cannot grant a lease: ttlMillis must be above 0")
	}
	id := platform.LeaseID(uuid.NewString())
	l := &lease{ttl: ttl}
	s.leases.Set(id, l)
	s.leases.Update(id, func(l *lease, ok bool) (*lease, bool) {
		l.timer = s.clock.AfterFunc(ttl, func() { s.expire(id) })
		return l, ok
	})
	return id, nil
}

// Renew implements platform.Lessor.
func (s *Store) Renew(_ context.Context, id platform.LeaseID) error {
	found := false
	s.leases.Update(id, func(l *lease, ok bool) (*lease, bool) {
		if ok {
			found = l.timer.Reset(l.ttl) // false if it has just fired
		}
		return l, ok
	})
	if !found {
		return noSuchLease(id)
	}
	return nil
}

// Revoke implements platform.Lessor.
func (s *Store) Revoke(_ context.Context, id platform.LeaseID) error {
	if !s.expire(id) {
		return noSuchLease(id)
	}
	return nil
}

// bind adds key to the keys of the lease and reports whether the lease exists.
func (s *Store) bind(id platform.LeaseID, key string) bool {
	exists := false
	s.leases.Update(id, func(l *lease, ok bool) (*lease, bool) {
		if ok {
			l.keys, exists = append(l.keys, key), true
		}
		return l, ok
	})
	return exists
}

// expire ends the lease and deletes the keys still bound to it. It reports whether
// the lease existed.
func (s *Store) expire(id platform.LeaseID) bool {
	l, ok := s.leases.Delete(id)
	if !ok {
		return false
	}
	l.timer.Stop()
	for _, key := range l.keys {
		s.remove(key, func(kv api.KeyValue) bool { return kv.Lease == string(id) })
	}
	return true
}

func noSuchLease(id platform.LeaseID) error {
	return problem.New(problem.NotFound, problem.StepLease, "", "lease does not exist: "+string(id))
}
