package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a start order without an answer", func() {
	It("is sent to the same worker again, with the same attempt", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.advance(timing.OrderTimeout)
		Expect(s.plan().Starts).To(BeEmpty(), "no reply has shown yet that it was not carried out")
		s.poll("a", nil)
		again := only(s.plan().Starts)
		Expect(startTexts([]scheduler.StartOrder{again})).To(Equal(startTexts([]scheduler.StartOrder{first})))
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.poll("a", nil)
		s.poll("b", nil)
	})

	// An owner short of processor time repeated a start whose first copy had been carried
	// out and whose run had ended. The worker refused the repeated one as too late (bench,
	// a calm day of the grown Registry).
	It("may have been carried out even if a repeated one is refused as too late", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.advance(timing.OrderTimeout)
		s.poll("a", nil)
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.TooLate, s.clock, s.now)
		s.advance(time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil, endReport(first, scheduler.EndDone))
		Expect(s.save(201)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	It("reserves its capacity until a poll shows that it can no longer be carried out", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 16))
		for _, o := range s.plan().Starts {
			s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		}
		s.poll("a", nil)
		s.add(batchJob("k", 1))
		s.advance(400 * time.Millisecond)
		again := s.plan().Starts
		Expect(again).To(HaveLen(16))
		Expect(again).To(HaveEach(And(HaveField("Task.Job", "j"), HaveField("Attempt", 1))))
		for _, o := range again {
			s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		}
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(timing.RunLease)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(HaveLen(16))
	})

	It("prevents another start of the task while its worker does not answer, until the lease there has expired", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		first := only(s.startAll())
		s.silent(first.Worker)
		s.advance(timing.RunLease)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(500 * time.Millisecond)
		second := only(s.plan().Starts)
		Expect(second.Worker).NotTo(Equal(first.Worker))
		Expect(second.Attempt).To(Equal(2))
	})
})
