package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("the answer to a stop that its owner reads after the worker has started again", func() {
	var s *scene
	var stop scheduler.StopOrder

	// restart has the next incarnation of worker a answer a poll.
	restart := func() {
		s.advance(500 * time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 20})
	}

	BeforeEach(func() {
		s = newScene(worker("a"))
		s.add(batchJob("j", 1))
		started := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(started, scheduler.NoResponse, 0, s.now)
		s.pool.CancelJob("j", 300)
		stop = only(s.plan().Stops)
	})

	// The new incarnation was not told of the stop, since the former one had confirmed it: a
	// late copy of the start ran there, unasked and unknown to the owner (UNASKED).
	It("does not confirm the stop for the new incarnation", func() {
		restart()
		s.pool.StopAnswered(stop, scheduler.Accepted, s.now)
		Expect(only(s.plan().Stops).Task).To(Equal(stop.Task))
	})

	// The new incarnation was given up because another worker had answered at the address of
	// the former one, and its task started a second time elsewhere (TWICE).
	It("does not show that the new incarnation has ended", func() {
		next := worker("a")
		next.Address, next.Incarnation = "a:2", 2
		s.setWorkers(next)
		restart()
		s.add(batchJob("k", 1))
		Expect(only(s.startAll()).Worker).To(Equal("a"))
		s.setWorkers(next, worker("b"))
		s.poll("b", nil)
		s.pool.StopAnswered(stop, scheduler.OtherIncarnation, s.now)
		Expect(s.plan().Starts).To(BeEmpty())
	})
})
