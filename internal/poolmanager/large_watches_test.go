package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// largeWatches is a store whose watches after an old revision take longer than their
// callers wait, as the response holds all changes since then.
type largeWatches struct {
	*fakeStore
	upTo int64 // watches after a lower revision do not end in time
}

// Watch returns no events after upTo, and times out before it.
func (s *largeWatches) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
	if after < s.upTo {
		<-ctx.Done()
		return nil, 0, problem.New(problem.Timeout, problem.StepStoreWatch, "", "the response takes too long")
	}
	return nil, after, nil
}
