package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// confirmingStore notes when the latest reading call began that succeeded: what
// it told is no older than that.
type confirmingStore struct {
	platform.Store
	clock     clockwork.Clock
	confirmed *shard.Cell[time.Time] // zero: never
}

func newConfirmingStore(store platform.Store, clock clockwork.Clock) *confirmingStore {
	return &confirmingStore{Store: store, clock: clock, confirmed: shard.NewCell(time.Time{})}
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
		s.confirmed.Update(func(time.Time) (time.Time, bool) { return begun, true })
	}
}
