package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a run that this owner did not order and does not need", func() {
	// Simulation seed 840058: the owner's process ended its ownership with a nil pointer, as such
	// a run has no stage.
	It("ends as done, and its task with it", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		former := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 3, Percent: 100}
		s.poll("a", []scheduler.RunReport{former})
		s.poll("b", []scheduler.RunReport{former})
		s.poll("b", nil, scheduler.EndReport{Task: former.Task, Attempt: former.Attempt, Kind: scheduler.EndDone})
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	It("ends as done after its job was cancelled", func() {
		s := newScene(worker("a"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		former := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 3, Percent: 100}
		s.pool.CancelJob("j", 250)
		s.poll("a", []scheduler.RunReport{former})
		s.poll("a", nil, scheduler.EndReport{Task: former.Task, Attempt: former.Attempt, Kind: scheduler.EndDone})
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Cancelled))
	})
})
