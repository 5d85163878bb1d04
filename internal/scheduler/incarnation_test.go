package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a worker that has restarted under its name, which its owner does not know yet", func() {
	// restarted returns a scene in which an end of worker a is saved and may be
	// acknowledged, and the clock of a is known. The next incarnation of a starts now.
	restarted := func() *scene {
		s := newScene(worker("a"))
		s.add(batchJob("before", 1))
		started := only(s.startAll())
		s.poll("a", nil, endReport(started, scheduler.EndDone))
		s.save(300)
		s.advance(time.Second)
		return s
	}
	// acceptStart adds a job of one task and has the next incarnation accept its start.
	acceptStart := func(s *scene, job string) scheduler.StartOrder {
		s.add(batchJob(job, 1))
		started := only(s.plan().Starts)
		s.advance(10 * time.Millisecond)
		s.pool.StartAnswered(started, scheduler.Accepted, 5, s.now)
		return started
	}

	// Incident 20: the new incarnation, which numbers its ends anew, dropped ends that
	// no owner had applied, and their tasks started again.
	It("is not sent an acknowledgement of its former incarnation's ends", func() {
		s := restarted()
		acceptStart(s, "j")
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// Incident 20: the same failure after a start whose answer was lost.
	It("is not sent an acknowledgement of its former incarnation's ends while an order has no answer", func() {
		s := restarted()
		s.add(batchJob("j", 1))
		started := only(s.plan().Starts)
		s.advance(700 * time.Millisecond)
		s.pool.StartAnswered(started, scheduler.NoResponse, 0, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// Incident 20: the same failure after a failed poll, since another incarnation may
	// answer the next one.
	It("is not sent an acknowledgement of its former incarnation's ends after a poll without a reply", func() {
		s := restarted()
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// Incident 20: a run of the new incarnation was taken as one of the former
	// incarnation, and its task started a second time elsewhere.
	It("keeps the run that the new incarnation accepted, once a poll reply shows that incarnation", func() {
		s := restarted()
		started := acceptStart(s, "j")
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(40 * time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45, Running: []scheduler.RunReport{runReport(started)}})
		plan := s.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Stops).To(BeEmpty())
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 46, Ends: []scheduler.EndReport{{Number: 1, Task: started.Task, Attempt: 1, Kind: scheduler.EndDone}}})
		Expect(s.save(301)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	// Incident 20: the same failure when the platform's list shows the new incarnation
	// first.
	It("keeps the run that the new incarnation accepted, once the platform lists that incarnation", func() {
		s := restarted()
		started := acceptStart(s, "j")
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next, worker("b"))
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(40 * time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45, Running: []scheduler.RunReport{runReport(started)}})
		Expect(s.plan().Starts).To(BeEmpty())
	})

	// A task whose run ended with the former incarnation must start again.
	It("releases the runs of its former incarnation, once a poll reply shows the new one", func() {
		s := restarted()
		s.add(batchJob("j", 1))
		started := only(s.startAll())
		s.advance(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		s.restartedAs("a", 2)
		Expect(only(s.startAll()).Attempt).To(Equal(started.Attempt + 1))
	})
})

var _ = Describe("a reply of a worker's former incarnation that arrives after the later one is listed", func() {
	// Incident 20: its ends were applied as those of the later incarnation, which was
	// then sent an acknowledgement of its own ends and dropped them.
	It("is not applied", func() {
		s := newScene(worker("a"))
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next)
		s.add(batchJob("j", 1))
		s.poll("a", nil)
		Expect(s.startAll()).To(BeEmpty(), "only the former incarnation has answered")
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		s.pool.RosterSaved(s.pool.Roster(s.now))
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a run accepted by a new incarnation that only the clock in its answer reveals", func() {
	// Incident 20: the deadline was computed from the former incarnation's clock, so the
	// new one shortened it to the longest lease that it grants. The task started
	// elsewhere before that lease had expired.
	It("is assumed to continue for the longest lease if the worker does not answer", func() {
		s := newScene(worker("a"))
		s.advance(10 * time.Second)
		s.clock = 1_000_000
		s.poll("a", nil)
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.Accepted, 5, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.silent("a")
		s.poll("b", nil)
		s.advance(timing.RunLease + 800*time.Millisecond)
		Expect(s.startAll()).To(BeEmpty())
		s.advance(timing.MaxRunLease - timing.RunLease)
		s.poll("b", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a cancel request that arrives before its job", func() {
	// The job started, and ran until the watch of the store delivered the request again.
	It("cancels the job", func() {
		s := newScene(worker("a"))
		s.pool.CancelJob("j", token+2)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Cancelled))
	})
})

var _ = Describe("a machine on which ends are not saved", func() {
	// The machine was taken down with the only report of work that was done.
	It("does not count as empty until they are", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		started := only(s.startAll())
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now.Add(time.Second)}, nil)
		s.plan()
		s.poll("a", nil, endReport(started, scheduler.EndDone))
		Expect(s.pool.MachineEmpty("m-a")).To(BeFalse())
		s.save(300)
		Expect(s.pool.MachineEmpty("m-a")).To(BeTrue())
	})
})

var _ = Describe("a wrong incarnation in a worker's entry of the list", func() {
	// After another process had written under the worker's key, the owner rejected the
	// worker's replies for the rest of its ownership.
	It("does not exclude the worker once the list is right again", func() {
		s := newScene(worker("a"))
		wrong := worker("a")
		wrong.Incarnation = 99
		s.setWorkers(wrong)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.pool.RosterSaved(s.pool.Roster(s.now))
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(HaveLen(1))
	})

	// The machine's time of day was set back before the worker restarted.
	It("does not exclude a next incarnation whose start has an earlier time", func() {
		s := newScene(worker("a"))
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 5000, Clock: 45})
		next := worker("a")
		next.Incarnation = 4000
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.setWorkers(next)
		s.advance(time.Second)
		Expect(s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 4000, Clock: 45})).To(BeTrue())
		s.setWorkers(next)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a poll reply that lists a part of the ends", func() {
	// A run whose end was not among those listed was taken as lost, and its task started
	// again.
	It("ends no run that it does not list", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		started := only(s.startAll())
		s.advance(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 1, Clock: s.clock, Partial: true})
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, endReport(started, scheduler.EndDone))
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
	})
})
