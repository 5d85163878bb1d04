package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an answer about a former life of a worker that its owner reads late", func() {
	var s *scene
	next := worker("a")
	next.Address, next.Incarnation = "a:2", 2

	// answer applies a reply of the given incarnation of worker a.
	answer := func(incarnation int64, running ...scheduler.RunReport) {
		s.advance(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: incarnation, Clock: 20, Running: running})
	}
	// unanswered has the start of a task on worker a get no answer.
	unanswered := func(o scheduler.StartOrder) {
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
	}

	BeforeEach(func() { s = newScene(worker("a"), worker("b")) })

	// The present life was given up, because another worker had refused a start at the former
	// address: its task started a second time elsewhere (TWICE).
	It("does not show by a refused start that the present life has ended", func() {
		s = newScene(worker("a"))
		s.add(batchJob("j", 1))
		started := only(s.plan().Starts)
		s.setWorkers(next)
		answer(2)
		s.add(batchJob("k", 1))
		Expect(only(s.startAll()).Task.Job).To(Equal("k"))
		s.setWorkers(next, worker("b"))
		s.poll("b", nil)
		s.pool.StartAnswered(started, scheduler.OtherIncarnation, 0, s.now)
		for _, o := range s.plan().Starts {
			Expect(o.Task.Job).NotTo(Equal("k"))
		}
	})

	// A worker that had just been listed again was never polled and got no task any more.
	It("does not show by a refused poll that the present life has ended", func() {
		s.add(batchJob("j", 1))
		s.startAll()
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.setWorkers(next, worker("b"))
		s.pool.PollFailed("a", scheduler.OtherIncarnation, s.now)
		s.plan()
		s.setWorkers(next, worker("b"))
		_, due = s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
	})

	// A stop was ordered in case the next incarnation runs a late start. It ended a
	// long-running task there while another one of its step was away (AVAIL).
	It("has no long-running task at work stopped that its step cannot spare", func() {
		s.add(longRunningJob("j", 2))
		runs := map[string]scheduler.StartOrder{}
		for _, o := range s.plan().Starts {
			runs[o.Worker] = o
		}
		s.pool.StartAnswered(runs["b"], scheduler.Accepted, s.clock, s.now)
		unanswered(runs["a"])
		answer(2)
		Expect(s.plan().Stops).To(BeEmpty())
		answer(2, runReport(runs["a"]))
		s.pool.PollFailed("b", scheduler.NoResponse, s.now)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	// A run that was kept after two restarts counted as at work, though a stop that was ordered
	// between these, in case of a late start, could still end it (AVAIL).
	It("leaves no run counted as at work that a stop without an answer may still end", func() {
		s.add(longRunningJob("j", 2))
		runs := map[string]scheduler.StartOrder{}
		for _, o := range s.plan().Starts {
			runs[o.Worker] = o
		}
		s.pool.StartAnswered(runs["b"], scheduler.Accepted, s.clock, s.now)
		unanswered(runs["a"])
		answer(2)
		Expect(s.plan().Stops).To(BeEmpty())
		answer(3, runReport(runs["a"]))
		Expect(s.plan().Stops).To(BeEmpty())
	})
})
