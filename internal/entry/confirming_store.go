package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// confirmingStore notes when the latest reading call began that succeeded, and
// confirms that time once all that the call told is applied: what this entry
// knows is no older than that.
type confirmingStore struct {
	platform.Store
	clock     clockwork.Clock
	answered  *shard.Cell[time.Time] // when the latest call that succeeded began; zero: never
	confirmed *shard.Cell[time.Time] // zero: never
}

func newConfirmingStore(store platform.Store, clock clockwork.Clock) *confirmingStore {
	return &confirmingStore{Store: store, clock: clock, answered: shard.NewCell(time.Time{}), confirmed: shard.NewCell(time.Time{})}
}

// List implements platform.Store.
func (s *confirmingStore) List(ctx context.Context, prefix string) (api.Listing, error) {
	begun := s.clock.Now()
	listing, err := s.Store.List(ctx, prefix)
	s.note(begun, err)
	return listing, err
}

// Watch implements platform.Store.
func (s *confirmingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	begun := s.clock.Now()
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	s.note(begun, err)
	return changes, err
}

func (s *confirmingStore) note(begun time.Time, err error) {
	if err == nil {
		s.answered.Update(func(time.Time) (time.Time, bool) { return begun, true })
	}
}

// confirm notes that all that the store told is applied, and returns for how
// long the view had not been confirmed before; 0: nothing new was told.
func (s *confirmingStore) confirm() time.Duration {
	before, answered := s.confirmed.Get(), s.answered.Get()
	s.confirmed.Update(func(time.Time) (time.Time, bool) { return answered, true })
	if answered.Equal(before) {
		return 0
	}
	return answered.Sub(before)
}
