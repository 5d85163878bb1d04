package scheduler_test

import (
	"fmt"
	"testing"

	"persimmonbay/internal/scheduler"
)

// BenchmarkClaimUnsaved claims one batch of a backlog of 3,000 jobs, as an owner has after
// the store has refused its writes for some seconds.
func BenchmarkClaimUnsaved(b *testing.B) {
	s := newScene(worker("a"))
	var ends []scheduler.EndReport
	for i := range takeOverUnsaved {
		id := fmt.Sprintf("job-%04d", i)
		s.add(batchJob(id, 1))
		ends = append(ends, scheduler.EndReport{Task: scheduler.TaskID{Job: id}, Attempt: 1, Kind: scheduler.EndDone})
	}
	s.poll("a", nil, ends...)
	for b.Loop() {
		items, _ := s.pool.ClaimUnsaved(takeOverSaveBatch)
		s.pool.SaveFailed(items)
	}
}
