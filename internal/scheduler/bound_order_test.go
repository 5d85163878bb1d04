package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Issue 44 (TWICE): a deadline on the clock of a worker's former incarnation let a run of
// the present one go on for longer than its owner waited before it started the task elsewhere.
var _ = Describe("an order to a worker that has restarted under its name", func() {
	const former, present = 1, 2
	var s *scene
	var started scheduler.StartOrder
	BeforeEach(func() {
		s = newScene(worker("a"))
		s.add(batchJob("j", 1))
		started = only(s.plan().Starts)
	})
	// answer applies a poll's reply of an incarnation without runs and ends.
	answer := func(incarnation, clock int64) scheduler.PollRequest {
		req, _ := s.pool.NextPoll("a", s.now)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: incarnation, Clock: clock})
		return req
	}

	It("names the incarnation whose clock its deadline is on", func() {
		Expect(started.Incarnation).To(BeEquivalentTo(former))
		s.pool.StartAnswered(started, scheduler.Restarted, 0, s.now)
		s.advance(time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty(), "the present incarnation has not answered")
		Expect(answer(present, 5).Incarnation).To(BeEquivalentTo(former))
		s.restartedAs("a", present)
		again := only(s.plan().Starts)
		Expect(again.Incarnation).To(BeEquivalentTo(present))
		Expect(again.Deadline).To(BeNumerically("<=", 5+timing.RunLease.Milliseconds()))
	})

	It("names the same incarnation when it is sent again", func() {
		s.pool.StartAnswered(started, scheduler.NoResponse, 0, s.now)
		s.advance(timing.OrderTimeout)
		s.poll("a", nil)
		Expect(only(s.plan().Starts).Incarnation).To(BeEquivalentTo(former))
	})

	// A worker behind a relay takes the start although it has restarted, and a poll's reply
	// shows that before the start's answer arrives.
	It("may have granted the longest lease if a poll's reply shows the restart first", func() {
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		answer(present, 5)
		s.pool.StartAnswered(started, scheduler.Accepted, 7, s.now)
		run := []scheduler.RunReport{runReport(started)}
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: present, Clock: 8, Running: run})
		s.silent("a")
		s.advance(timing.RunLease + 500*time.Millisecond)
		s.silent("a")
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(timing.MaxRunLease - timing.RunLease)
		s.silent("a")
		s.poll("b", nil)
		Expect(only(s.plan().Starts).Worker).To(Equal("b"))
	})

	It("says nothing of the present incarnation's clock when the former one's answer comes late", func() {
		answer(present, 900_000)
		s.pool.StartAnswered(started, scheduler.Accepted, s.clock, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Incarnation).To(BeEquivalentTo(present))
		Expect(req.Deadline).To(BeNumerically(">=", 900_000))
	})
})
