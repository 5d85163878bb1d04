package platform

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
)

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// Store is the stand-in's key-value store with leases. Keys are in shards, each
// under its own lock; a shard's lock is never taken while the log's lock is held.
// Tests can use the store directly, as a fake, or over HTTP.
type Store struct {
	clock  clockwork.Clock
	keys   *shard.Map[string, api.KeyValue]
	leases *shard.Map[platform.LeaseID, *lease]
	log    *log
}

var (
	_ platform.Store  = (*Store)(nil)
	_ platform.Lessor = (*Store)(nil)
)

// NewStore returns an empty store whose leases expire by clock.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:  clock,
		keys:   shard.NewMap[string, api.KeyValue](),
		leases: shard.NewMap[platform.LeaseID, *lease](),
		log:    newLog(),
	}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (api.KeyValue, error) {
	kv, ok := s.keys.Get(key)
	if !ok {
		return kv, problem.New(problem.NotFound, problem.StepStoreRead, "", "key does not exist: "+key)
	}
	return kv, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string) (api.Listing, error) {
	listing := api.Listing{Items: []api.KeyValue{}}
	s.keys.Snapshot(
		func() { listing.Revision = s.log.current() },
		func(key string, kv api.KeyValue) {
			if strings.HasPrefix(key, prefix) {
				listing.Items = append(listing.Items, kv)
			}
		})
	sort.Slice(listing.Items, func(i, j int) bool { return listing.Items[i].Key < listing.Items[j].Key })
	return listing, nil
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, condition platform.Condition, id platform.LeaseID) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, problem.New(problem.Invalid, problem.StepStoreWrite, "", "value is larger than 1 MiB")
	}
	if id != "" && !s.bind(id, key) {
		return 0, problem.New(problem.NotFound, problem.StepStoreWrite, "", "lease does not exist: "+string(id))
	}
	version, written := s.write(key, value, condition, id)
	if !written {
		return version, problem.New(problem.Conflict, problem.StepStoreWrite, "", "version differs: "+key)
	}
	if _, exists := s.leases.Get(id); id != "" && !exists {
		s.remove(key, func(kv api.KeyValue) bool { return kv.Lease == string(id) })
	}
	return version, nil
}

// write puts the key if the condition holds. It returns the new version, or the
// present one if the condition does not hold.
func (s *Store) write(key string, value []byte, condition platform.Condition, id platform.LeaseID) (version uint64, written bool) {
	s.keys.Update(key, func(old api.KeyValue, ok bool) (api.KeyValue, bool) {
		if !condition.Holds(old.Version) {
			version = old.Version
			return old, ok
		}
		kv := api.KeyValue{Key: key, Value: append([]byte(nil), value...), Lease: string(id)}
		version = s.log.append(api.Event{Type: api.EventPut, Key: key, Value: kv.Value, Lease: kv.Lease})
		kv.Version, written = version, true
		return kv, true
	})
	return version, written
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, key string, condition platform.Condition) error {
	result := problem.New(problem.NotFound, problem.StepStoreWrite, "", "key does not exist: "+key)
	s.remove(key, func(kv api.KeyValue) bool {
		if condition.Holds(kv.Version) {
			result = nil
			return true
		}
		result = problem.New(problem.Conflict, problem.StepStoreWrite, "", "version differs: "+key)
		return false
	})
	if result != nil {
		return result
	}
	return nil
}

// remove deletes a key if it is present and allowed returns true for it.
func (s *Store) remove(key string, allowed func(api.KeyValue) bool) {
	s.keys.Update(key, func(old api.KeyValue, ok bool) (api.KeyValue, bool) {
		if !ok || !allowed(old) {
			return old, ok
		}
		s.log.append(api.Event{Type: api.EventDelete, Key: key})
		return old, false
	})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	timeout := s.clock.After(wait)
	for {
		changes, appended, available := s.log.after(after, prefix)
		if !available {
			return changes, problem.New(problem.Compacted, problem.StepStoreWatch, "", "events after the revision were dropped: list again")
		}
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return changes, problem.Wrap(problem.Timeout, problem.StepStoreWatch, "", ctx.Err())
		}
	}
}
