package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/shard"
)

// confirmingStore records the latest successful read from the store. Once
// everything that it returned is applied, confirm publishes it: this entry's view
// is then no older than the start of the read, and complete up to its revision.
type confirmingStore struct {
	platform.Store
	clock     clockwork.Clock
	lastRead  *shard.Cell[storeRead] // the latest successful one
	confirmed *shard.Cell[storeRead] // the latest one that is applied
}

func newConfirmingStore(store platform.Store, clock clockwork.Clock) *confirmingStore {
	return &confirmingStore{Store: store, clock: clock, lastRead: shard.NewCell(storeRead{}), confirmed: shard.NewCell(storeRead{})}
}

// List implements platform.Store.
func (s *confirmingStore) List(ctx context.Context, prefix string) (api.Listing, error) {
	started := s.clock.Now()
	listing, err := s.Store.List(ctx, prefix)
	s.recordRead(storeRead{startedAt: started, revision: listing.Revision}, err)
	return listing, err
}

// Watch implements platform.Store.
func (s *confirmingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (api.Changes, error) {
	started := s.clock.Now()
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	s.recordRead(storeRead{startedAt: started, revision: changes.Revision}, err)
	return changes, err
}

func (s *confirmingStore) recordRead(read storeRead, err error) {
	if err == nil {
		s.lastRead.Update(func(storeRead) (storeRead, bool) { return read, true })
	}
}

// confirm records that everything read from the store is applied. It returns
// the time between the previously confirmed read and this one, or 0 when there
// was no successful read in between.
func (s *confirmingStore) confirm() time.Duration {
	before, latest := s.confirmed.Get(), s.lastRead.Get()
	s.confirmed.Update(func(storeRead) (storeRead, bool) { return latest, true })
	if latest.startedAt.Equal(before.startedAt) {
		return 0
	}
	return latest.startedAt.Sub(before.startedAt)
}
