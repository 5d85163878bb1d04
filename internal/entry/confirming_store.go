package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// confirmingStore records the start of the latest successful read from the
// store. Once everything that the read returned is applied, confirm publishes
// that time: this entry's view is then no older than the confirmed time.
type confirmingStore struct {
	platform.Store
	clock     clockwork.Clock
	lastRead  *shard.Cell[time.Time] // start of the latest successful read; zero: never
	confirmed *shard.Cell[time.Time] // start of the latest read that is applied; zero: never
}

func newConfirmingStore(store platform.Store, clock clockwork.Clock) *confirmingStore {
	return &confirmingStore{Store: store, clock: clock, lastRead: shard.NewCell(time.Time{}), confirmed: shard.NewCell(time.Time{})}
}

// List implements platform.Store.
func (s *confirmingStore) List(ctx context.Context, prefix string) (api.Listing, error) {
	started := s.clock.Now()
	listing, err := s.Store.List(ctx, prefix)
	s.recordRead(started, err)
	return listing, err
}

// Watch implements platform.Store.
func (s *confirmingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	started := s.clock.Now()
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	s.recordRead(started, err)
	return changes, err
}

func (s *confirmingStore) recordRead(started time.Time, err error) {
	if err == nil {
		s.lastRead.Update(func(time.Time) (time.Time, bool) { return started, true })
	}
}

// confirm records that everything read from the store is applied. It returns
// the time between the previously confirmed read and this one, or 0 when there
// was no successful read in between.
func (s *confirmingStore) confirm() time.Duration {
	before, latest := s.confirmed.Get(), s.lastRead.Get()
	s.confirmed.Update(func(time.Time) (time.Time, bool) { return latest, true })
	if latest.Equal(before) {
		return 0
	}
	return latest.Sub(before)
}
