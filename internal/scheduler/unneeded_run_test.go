package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a second run of a task that a worker lists", func() {
	// Simulation, seed 300033 (TWICE): the first run failed, and the task started elsewhere
	// while the stop of its second run, which a former owner had ordered, was on its way.
	It("has ended before the task starts again", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		task := scheduler.TaskID{Job: "j"}
		s.poll("a", []scheduler.RunReport{{Task: task, Attempt: 2, Percent: 100}})
		s.poll("b", []scheduler.RunReport{{Task: task, Attempt: 3, Percent: 100}})
		stop := only(s.plan().Stops)
		Expect(stop.Worker).To(Equal("b"))
		s.poll("a", nil, scheduler.EndReport{Task: task, Attempt: 2, Kind: scheduler.EndFailed})
		s.advance(time.Second)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pool.StopAnswered(stop, scheduler.Accepted, s.now)
		s.advance(time.Millisecond)
		s.poll("b", nil, scheduler.EndReport{Task: task, Attempt: 3, Kind: scheduler.EndStopped})
		Expect(s.startAll()).To(HaveLen(1))
	})
})
