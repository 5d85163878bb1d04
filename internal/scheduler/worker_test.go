package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a worker", func() {
	It("loses all its runs when it restarts", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.startAll()
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 1})
		s.restartedAs("a", 2)
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	// In the simulation, a delayed start order reached the worker's next incarnation.
	It("that restarts refuses starts without an answer, before their tasks start again there and nowhere else", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Token: first.Token, Incarnation: 2, Clock: 1})
		Expect(s.plan().Starts).To(BeEmpty(), "it would still accept the first start")
		s.advance(time.Millisecond)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Token).To(BeNumerically(">", first.Token))
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Token: req.Token, Incarnation: 2, Clock: 2})
		present := worker("a")
		present.Incarnation = 2
		s.setWorkers(present, worker("b"))
		again := only(s.startAll())
		Expect(startTexts([]scheduler.StartOrder{again})).To(Equal([]string{"j/0@a#1"}), "an attempt that was not run")
		Expect(again.Incarnation).To(BeEquivalentTo(2))
		Expect(again.Token).To(BeNumerically(">", first.Token))
	})

	// A machine that had been reported as empty crashed, its next worker got tasks, and
	// the machine's maintenance ended them (bench, scale-1 of the grown Registry).
	It("gets no new task on a machine that was reported as empty or is offered, even after a restart", func() {
		s := newScene(worker("a"), worker("b"))
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now}, map[string]bool{"m-a": true})
		s.pool.SetOffered([]string{"m-b"})
		nextA, nextB := worker("a2"), worker("b2")
		nextA.Machine, nextA.Incarnation, nextB.Machine, nextB.Incarnation = "m-a", 2, "m-b", 2
		s.setWorkers(nextA, nextB)
		s.pollAs("a2", 2)
		s.pollAs("b2", 2)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.WithdrawOffer("m-b")
		Expect(only(s.startAll()).Worker).To(Equal("b2"))
	})

	It("gets no new task while it drains", func() {
		leaving := worker("a")
		leaving.Draining = true
		s := newScene(worker("a"))
		s.setWorkers(leaving)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
	})

	It("is suspended after tasks of several jobs have failed in a row", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.add(batchJob("k", 1))
		started := s.startAll()
		s.poll("a", nil, endReport(started[0], scheduler.EndFailed), endReport(started[1], scheduler.EndFailed))
		Expect(s.startAll()).To(BeEmpty())
		s.advance(timing.FirstSuspension)
		Expect(s.startAll()).To(HaveLen(2))
	})

	It("counts as lost once another worker has started on its machine", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.startAll()
		next := worker("b")
		next.Machine, next.Incarnation = "m-a", 2
		s.setWorkers(worker("a"), next)
		s.pollAs("b", 2)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	// Workers that would never answer again were polled again and again, and each poll
	// counted as a longer lease (bench, mix of the Registry, seeds 1034025713845 and
	// 54835174418).
	It("that does not answer and is not listed gets no longer lease by polls", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		lost := only(s.startAll())
		s.setWorkers(worker("b"))
		for range 20 {
			req, due := s.pool.NextPoll(lost.Worker, s.now)
			if due {
				Expect(req.Deadline == 0 || s.now.Sub(time.Unix(1_700_000_000, 0)) < time.Second).To(BeTrue())
				s.pool.PollFailed(lost.Worker, scheduler.NoResponse, s.now)
			}
			s.advance(400 * time.Millisecond)
			s.poll("b", nil)
		}
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	It("that does not answer frees its tasks once its machine runs no worker", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		lost := only(s.startAll())
		s.pool.PollFailed(lost.Worker, scheduler.NoResponse, s.now)
		s.pool.SetMachineWorkers(map[string]string{"m-a": "a", "m-b": "b"}, s.now, s.now)
		Expect(s.startAll()).To(BeEmpty(), "it may be cut off while its runs go on")
		s.pool.SetMachineWorkers(map[string]string{"m-" + lost.Worker: ""}, s.now, s.now)
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	It("that refuses the connection gets nothing until it has answered", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.NotReached, 0, s.now)
		s.advance(time.Minute)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil)
		Expect(s.plan().Starts).To(HaveLen(1))
	})
})
