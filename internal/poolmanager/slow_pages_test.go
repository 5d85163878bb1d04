package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// slowPages is a store whose pages arrive only at callers that wait long enough.
type slowPages struct {
	*fakeStore
	needed time.Duration
}

// RangePage returns the page if ctx leaves the time that its transfer needs.
func (s *slowPages) RangePage(ctx context.Context, prefix, after string) (store.Page, error) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < s.needed {
		return store.Page{}, problem.New(problem.Timeout, problem.StepStoreRead, "", "no response")
	}
	return s.fakeStore.RangePage(ctx, prefix, after)
}
