package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a job that ends while an earlier save of it has no response", func() {
	// The owner logs and counts the end of a job with the first save that has it.
	It("is not taken as saved with its end", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		run := only(s.startAll())
		s.poll("a", []scheduler.RunReport{runReport(run)})
		items, _ := s.pool.ClaimUnsaved(10)
		Expect(only(items).Progress.State).To(Equal(scheduler.Active))
		s.poll("a", nil, endReport(run, scheduler.EndDone))
		s.pool.Saved(items, 300)
		items, _ = s.pool.ClaimUnsaved(10)
		Expect(only(items).Progress.State).To(Equal(scheduler.Completed))
		Expect(only(items).EndSaved).To(BeFalse())
	})
})
