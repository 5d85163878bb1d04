package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a task whose open start was for a worker that has left", func() {
	// LOST on the bench (late-only): tasks waited for workers that had left their machines.
	DescribeTable("starts elsewhere once the platform lists that its worker has left its machine", func(list func(s *scene, requestedAt time.Time)) {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", nil)
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.InsufficientCapacity, s.clock, s.now)
		s.poll("a", nil)
		s.setWorkers(worker("b"))
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.advance(timing.MaxRunLease + time.Second)
		s.plan()
		s.plan()
		Expect(s.pool.HasWorker("a")).To(BeFalse())
		list(s, first.SentAt.Add(-time.Millisecond))
		Expect(s.plan().Starts).To(BeEmpty(), "a list of before the start")
		Expect(s.pool.HasSilentWorkers()).To(BeTrue(), "so that the list is read")
		list(s, s.now)
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"j/0@b#2"}))
	},
		Entry("for another one", func(s *scene, at time.Time) {
			s.pool.SetMachineWorkers(map[string]string{"m-a": "c"}, at, s.now)
		}),
		Entry("as it is in another pool", func(s *scene, at time.Time) {
			s.pool.SetReassignedMachines(map[string]bool{"m-a": true}, at)
		}),
	)

	// Review/15 (LOST): a worker was lost for good, and tasks waited 18.6 s for a run that could
	// not be there: for the copy, and then for the longest lease.
	It("starts elsewhere once its machine runs no worker after the copy can't be carried out any more", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.silent("a")
		s.setWorkers(worker("b"))
		runsNone := func() { s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, s.now, s.now) }
		for s.now.Before(first.SentAt.Add(timing.StartTimeout + timing.LateCalls)) {
			runsNone()
			s.poll("b", nil)
			Expect(s.plan().Starts).To(BeEmpty(), "%v after the start: a later incarnation may carry it out", s.now.Sub(first.SentAt))
			Expect(s.pool.HasSilentWorkers()).To(BeTrue(), "so that the list is read")
			s.advance(300 * time.Millisecond)
		}
		runsNone()
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"j/0@b#2"}))
	})

	It("waits for the lease where the list was requested before the copy's time was over", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.setWorkers(worker("a"), worker("b"))
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.silent("a")
		s.setWorkers(worker("b"))
		s.advance(timing.LateCalls)
		requestedAt := s.now
		s.advance(time.Second)
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b"}, requestedAt.Add(-time.Millisecond), s.now)
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty())
	})
})
