package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an order without an answer", func() {
	It("is repeated at the same worker, under the same attempt", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.Unanswered, 0, s.now)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(timing.OrderTimeout)
		again := only(s.plan().Starts)
		Expect(names([]scheduler.StartOrder{again})).To(Equal(names([]scheduler.StartOrder{first})))
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.poll("a", nil)
		s.poll("b", nil)
	})

	// A calm day of the grown Registry: an owner short of CPU repeated a start
	// whose first copy had run and ended, and was told that it was too late.
	It("is not taken as never carried out because a repeat comes too late", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.Unanswered, 0, s.now)
		s.pass(timing.OrderTimeout)
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.TooLate, s.clock, s.now)
		s.pass(time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil, ended(first, scheduler.EndDone))
		Expect(s.save(201)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	It("keeps its room until the worker shows that it can no longer be carried out", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 16))
		for _, o := range s.plan().Starts {
			s.pool.StartAnswered(o, scheduler.Unanswered, 0, s.now)
		}
		s.poll("a", nil)
		s.add(tasks("k", 1))
		s.pass(400 * time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(timing.RunLease)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(HaveLen(16))
	})

	It("holds the task back while its worker does not answer, until the lease there has ended", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.startAll())
		s.pool.PollFailed(first.Worker, scheduler.Unanswered, s.now)
		s.pass(timing.RunLease)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(500 * time.Millisecond)
		second := only(s.plan().Starts)
		Expect(second.Worker).NotTo(Equal(first.Worker))
		Expect(second.Attempt).To(Equal(2))
	})
})
