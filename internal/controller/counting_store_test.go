package controller_test

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	standin "persimmonbay/internal/standin/platform"
)

// countingStore counts the calls that its views make, by second.
type countingStore struct {
	*standin.Store
	clock clockwork.Clock
	mu    sync.Mutex               // guards calls
	calls map[string]map[int64]int // by "purpose/kind" and second
	begun int64                    // second from which calls count
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

// reset forgets all counts.
func (s *countingStore) reset() {
	s.calls, s.begun = map[string]map[int64]int{}, s.clock.Now().Unix()
}

// perSecond returns the calls of one kind a second on average; "" means all.
func (s *countingStore) perSecond(name string) float64 {
	total := 0
	for _, n := range s.bySecond(name) {
		total += n
	}
	return float64(total) / float64(s.clock.Now().Unix()-s.begun)
}

// peak returns the most calls a second over any window of so many seconds.
func (s *countingStore) peak(window int64) float64 {
	all, most := s.bySecond(""), 0
	for from := s.begun; from+window <= s.clock.Now().Unix(); from++ {
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

// as returns the store for one purpose.
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
