package controller_test

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
)

// countingStore counts calls by purpose, kind and second.
type countingStore struct {
	*standin.Store
	clock       clockwork.Clock
	mu          sync.Mutex               // guards calls
	calls       map[string]map[int64]int // by "purpose/kind" and second
	countedFrom int64                    // the second from which calls are counted
}

func newCountingStore(store *standin.Store, clock clockwork.Clock) *countingStore {
	return &countingStore{Store: store, clock: clock, calls: map[string]map[int64]int{}}
}

func (s *countingStore) count(purpose, kind string) {
	name := purpose + "/" + kind
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[name] == nil {
		s.calls[name] = map[int64]int{}
	}
	s.calls[name][s.clock.Now().Unix()]++
}

// reset sets all counts to zero.
func (s *countingStore) reset() {
	s.calls, s.countedFrom = map[string]map[int64]int{}, s.clock.Now().Unix()
}

// perSecond returns the average number of calls a second of one "purpose/kind",
// or of all calls for "".
func (s *countingStore) perSecond(name string) float64 {
	total := 0
	for _, n := range s.bySecond(name) {
		total += n
	}
	return float64(total) / float64(s.clock.Now().Unix()-s.countedFrom)
}

// peak returns the highest average number of calls a second over any window of
// the given length in seconds.
func (s *countingStore) peak(window int64) float64 {
	all, most := s.bySecond(""), 0
	for from := s.countedFrom; from+window <= s.clock.Now().Unix(); from++ {
		n := 0
		for second := from; second < from+window; second++ {
			n += all[second]
		}
		most = max(most, n)
	}
	return float64(most) / float64(window)
}

func (s *countingStore) bySecond(name string) map[int64]int {
	sum := map[int64]int{}
	for called, seconds := range s.calls {
		for second, n := range seconds {
			if name == "" || name == called {
				sum[second] += n
			}
		}
	}
	return sum
}

// as returns a store whose calls are counted for the purpose.
func (s *countingStore) as(purpose string) *countedCalls { return &countedCalls{s, purpose} }

// List implements platform.Store.
func (c *countedCalls) List(ctx context.Context, prefix string) (api.Listing, error) {
	c.count(c.purpose, "read")
	return c.countingStore.Store.List(ctx, prefix)
}

// Get implements platform.Store.
func (c *countedCalls) Get(ctx context.Context, key string) (api.KeyValue, error) {
	c.count(c.purpose, "read")
	return c.countingStore.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (c *countedCalls) Put(ctx context.Context, key string, value []byte, condition platform.Condition, lease platform.LeaseID) (uint64, error) {
	c.count(c.purpose, "write")
	return c.countingStore.Store.Put(ctx, key, value, condition, lease)
}

// Delete implements platform.Store.
func (c *countedCalls) Delete(ctx context.Context, key string, condition platform.Condition) error {
	c.count(c.purpose, "write")
	return c.countingStore.Store.Delete(ctx, key, condition)
}
