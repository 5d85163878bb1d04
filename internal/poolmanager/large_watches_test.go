package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// largeWatches is a store whose watches after an old revision fail, as the response
// holds all changes since then: it takes longer than callers wait, or is larger than they read.
type largeWatches struct {
	*fakeStore
	upTo     int64 // watches after a lower revision fail
	tooLarge bool  // the response is too large
}

// Watch returns no events after upTo, and fails before it.
func (s *largeWatches) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]store.Event, int64, error) {
	if after < s.upTo && s.tooLarge {
		return nil, 0, problem.New(problem.TooLarge, problem.StepStoreWatch, "", "the response is too large")
	}
	if after < s.upTo {
		<-ctx.Done()
		return nil, 0, problem.New(problem.Timeout, problem.StepStoreWatch, "", "the response takes too long")
	}
	return nil, after, nil
}
