package poolmanager

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// fakeStore is a store in memory that can lose answers and carry out late what
// it did not answer. mu guards all fields.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	lose     string      // the next change of a key with this prefix is not answered; empty: all are
	held     []store.Txn // not answered and not carried out yet
}

var _ store.Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, items: map[string]store.Item{}} }

// loseNext has the next change of a key with the prefix not answered. It is
// carried out by carryOut.
func (s *fakeStore) loseNext(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = prefix
}

// carryOut carries out the changes that were not answered, where their
// conditions still hold.
func (s *fakeStore) carryOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.held {
		if s.holds(&txn) {
			s.apply(&txn)
		}
	}
	s.held = nil
}

func (s *fakeStore) holds(txn *store.Txn) bool {
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return false
		}
	}
	return true
}

func (s *fakeStore) apply(txn *store.Txn) {
	s.revision++
	for _, w := range txn.Writes {
		created := s.revision
		if old, ok := s.items[w.Key]; ok {
			created = old.Created
		}
		s.items[w.Key] = store.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: created, Lease: w.Lease}
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
}

func (s *fakeStore) touches(txn *store.Txn, prefix string) bool {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return false
}

func (s *fakeStore) Commit(_ context.Context, txn store.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose != "" && s.touches(&txn, s.lose) {
		s.lose = ""
		s.held = append(s.held, txn)
		return 0, problem.New(problem.Interrupted, problem.StepStoreWrite, "", "no answer")
	}
	if !s.holds(&txn) {
		conflict := &store.ConflictError{}
		for _, e := range txn.Expected {
			if item, ok := s.items[e.Key]; ok {
				conflict.Items = append(conflict.Items, item)
			}
		}
		return 0, problem.Wrap(problem.Conflict, problem.StepStoreWrite, "", conflict)
	}
	s.apply(&txn)
	return s.revision, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, problem.New(problem.NotFound, problem.StepStoreRead, "", key)
	}
	return item, nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items, s.revision, nil
}

// Watch tells of nothing: tests call what takes events in.
func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
	<-ctx.Done()
	return nil, after, problem.New(problem.Timeout, problem.StepStoreWatch, "", "nothing changed")
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return store.Lease{ID: s.revision, TTL: time.Minute}, nil
}

func (s *fakeStore) Renew(context.Context, int64) error { return nil }

func (s *fakeStore) Revoke(context.Context, int64) error { return nil }

// put writes a key as another writer does, and returns its revision.
func (s *fakeStore) put(key string, value []byte, lease int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&store.Txn{Writes: []store.Write{{Key: key, Value: value, Lease: lease}}})
	return s.revision
}

func (s *fakeStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// remove removes a key as the store or another writer does.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&store.Txn{Deletes: []string{key}})
}
