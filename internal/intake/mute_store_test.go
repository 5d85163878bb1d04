package intake_test

import (
	"context"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// muteStore commits every transaction, and sends no response to the first ones.
type muteStore struct {
	store.Store
	mute     int // responses that are still to be lost
	items    map[string]store.Item
	revision int64 // of the last transaction that was committed
}

// Commit commits the transaction if its conditions hold.
func (s *muteStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	conflict, failed := &store.ConflictError{}, false
	for _, e := range txn.Expected {
		if item, ok := s.items[e.Key]; item.Revision != e.Revision {
			failed = true
			if ok {
				conflict.Items = append(conflict.Items, item)
			}
		}
	}
	if failed {
		return 0, problem.Wrap(problem.Conflict, problem.StepStoreWrite, "", conflict)
	}
	s.revision++
	for _, w := range txn.Writes {
		s.items[w.Key] = store.Item{Key: w.Key, Value: w.Value, Revision: s.revision, Created: s.revision}
	}
	if s.mute > 0 {
		s.mute--
		<-ctx.Done()
		return 0, problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	}
	return s.revision, nil
}

// Get returns the item of key.
func (s *muteStore) Get(_ context.Context, key string) (store.Item, error) {
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, problem.New(problem.NotFound, problem.StepStoreRead, "", key)
	}
	return item, nil
}
