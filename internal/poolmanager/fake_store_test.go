package poolmanager

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// fakeStore is a store in memory that can lose responses, and apply the transactions
// without a response later. mu guards all fields.
type fakeStore struct {
	mu         sync.Mutex
	revision   int64
	items      map[string]store.Item
	loseNext   string      // the response to the next write or delete of a key with this prefix is lost; empty: none is
	delayed    []store.Txn // without a response, not applied yet
	muteNext   string      // the next write of a key with this prefix gets no response until its caller gives up; empty: none does
	renewals   int         // received
	muteKeep   int         // so many renewals get no response from now on
	pageSize   int         // items in a page; 0: all
	pages      int         // reads of a page
	failPage   int         // each read of a page whose number this divides fails; 0: none does
	failPrefix string      // reads of pages under this prefix fail; empty: none does
}

var _ store.Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, items: map[string]store.Item{}} }

// failPages makes all reads of pages under prefix fail; none if it is empty.
func (s *fakeStore) failPages(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failPrefix = prefix
}

// loseNextResponse loses the response to the next write or delete of a key with the
// prefix. applyDelayed applies the transaction.
func (s *fakeStore) loseNextResponse(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = prefix
}

// applyDelayed applies the transactions without a response whose conditions are still
// met.
func (s *fakeStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		if s.conditionsMet(&txn) {
			s.apply(&txn)
		}
	}
	s.delayed = nil
}

func (s *fakeStore) conditionsMet(txn *store.Txn) bool {
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

// writesPrefix reports whether the transaction writes or deletes a key with the prefix.
func (s *fakeStore) writesPrefix(txn *store.Txn, prefix string) bool {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return slices.ContainsFunc(txn.Deletes, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// mute reports whether the transaction is to get no response.
func (s *fakeStore) mute(txn *store.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.muteNext == "" || !s.writesPrefix(txn, s.muteNext) {
		return false
	}
	s.muteNext = ""
	return true
}

func (s *fakeStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if s.mute(&txn) {
		<-ctx.Done()
		return 0, problem.Wrap(problem.Timeout, problem.StepStoreWrite, "", ctx.Err())
	}
	if err := expired(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseNext != "" && s.writesPrefix(&txn, s.loseNext) {
		s.loseNext = ""
		s.delayed = append(s.delayed, txn)
		return 0, problem.New(problem.Interrupted, problem.StepStoreWrite, "", "no response")
	}
	if !s.conditionsMet(&txn) {
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

// expired returns the error of a call whose time is over before it is sent.
func expired(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return problem.Wrap(problem.Timeout, problem.StepStoreRead, "", ctx.Err())
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Item, error) {
	if err := expired(ctx); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, problem.New(problem.NotFound, problem.StepStoreRead, "", key)
	}
	return item, nil
}

func (s *fakeStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	var items []store.Item
	var revision int64
	for after := ""; ; {
		page, err := s.RangePage(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, revision, nil
		}
		after = page.Next
	}
}

func (s *fakeStore) RangePage(_ context.Context, prefix, after string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	if s.failPage > 0 && s.pages%s.failPage == 0 || s.failPrefix != "" && prefix == s.failPrefix {
		return store.Page{}, problem.New(problem.Timeout, problem.StepStoreRead, "", "no response")
	}
	page := store.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if s.pageSize > 0 && len(page.Items) > s.pageSize {
		page.Items = page.Items[:s.pageSize]
		page.Next = page.Items[s.pageSize-1].Key
	}
	return page, nil
}

// Watch returns no events: tests call the functions that apply events.
func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
	<-ctx.Done()
	return nil, after, problem.New(problem.Timeout, problem.StepStoreWatch, "", "nothing changed")
}

// put writes a key as another writer would, and returns its revision.
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

// remove deletes a key as another writer or the end of a lease would.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(&store.Txn{Deletes: []string{key}})
}
