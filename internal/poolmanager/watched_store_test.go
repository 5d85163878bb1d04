package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/store"
)

// watchedStore is a fakeStore whose watches of one prefix return the events that a test
// sends.
type watchedStore struct {
	*fakeStore
	prefix string
	events chan store.Event
}

// Watch returns the next event; for other prefixes, none.
func (s watchedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if prefix != s.prefix {
		return s.fakeStore.Watch(ctx, prefix, after, wait)
	}
	select {
	case e := <-s.events:
		return []store.Event{e}, after + 1, nil
	case <-ctx.Done():
		return s.fakeStore.Watch(ctx, prefix, after, wait)
	}
}
