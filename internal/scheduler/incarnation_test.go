package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a worker that has started again under its name before its owner knows", func() {
	// lived returns a scene in which an end of worker a was noted and a has told
	// its clock; its next incarnation begins now.
	lived := func() *scene {
		s := newScene(worker("a"))
		s.add(tasks("before", 1))
		started := only(s.startAll())
		s.poll("a", nil, ended(started, scheduler.EndDone))
		s.save(300)
		s.pass(time.Second)
		return s
	}
	// accepted has the next incarnation accept the start of the only task of job.
	accepted := func(s *scene, job string) scheduler.StartOrder {
		s.add(tasks(job, 1))
		started := only(s.plan().Starts)
		s.pass(10 * time.Millisecond)
		s.pool.StartAnswered(started, scheduler.Accepted, 5, s.now)
		return started
	}

	// inc-20: the new incarnation forgot ends that nobody had taken in, and their tasks
	// started again.
	It("is not told to forget ends by the number of its earlier life", func() {
		s := lived()
		accepted(s, "j")
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// inc-20: the same with a start whose answer was lost.
	It("is not told to forget ends by the number of its earlier life while an order has no answer", func() {
		s := lived()
		s.add(tasks("j", 1))
		started := only(s.plan().Starts)
		s.pass(700 * time.Millisecond)
		s.pool.StartAnswered(started, scheduler.Unanswered, 0, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// inc-20: a poll that failed says nothing of the incarnation that answers the next.
	It("is not told to forget ends by the number of its earlier life after a look without answer", func() {
		s := lived()
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// inc-20: a run of the new incarnation was taken for one of the earlier incarnation, and its
	// task started a second time elsewhere.
	It("keeps the run that the new life accepted, once a look shows that life", func() {
		s := lived()
		started := accepted(s, "j")
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.pass(40 * time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45, Running: []scheduler.RunReport{runs(started)}})
		plan := s.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Stops).To(BeEmpty())
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 46, Ends: []scheduler.EndReport{{Number: 1, Task: started.Task, Attempt: 1, Kind: scheduler.EndDone}}})
		Expect(s.save(301)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	// inc-20: the same when the platform's list shows the new incarnation first.
	It("keeps the run that the new life accepted, once the platform lists that life", func() {
		s := lived()
		started := accepted(s, "j")
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next, worker("b"))
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(40 * time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45, Running: []scheduler.RunReport{runs(started)}})
		Expect(s.plan().Starts).To(BeEmpty())
	})

	// inc-20: a run that ended with the earlier incarnation must still start again.
	It("frees the runs of its earlier life, once a look shows the new one", func() {
		s := lived()
		s.add(tasks("j", 1))
		started := only(s.startAll())
		s.pass(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		Expect(only(s.startAll()).Attempt).To(Equal(started.Attempt + 1))
	})
})

var _ = Describe("an answer of a worker's earlier life that comes after the later one is listed", func() {
	// inc-20: its ends were counted as those of the later incarnation, which then forgot
	// its own.
	It("is not taken in", func() {
		s := newScene(worker("a"))
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next)
		s.add(tasks("j", 1))
		s.poll("a", nil)
		Expect(s.startAll()).To(BeEmpty(), "only the earlier life has answered")
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		s.pool.RosterSaved(s.pool.Roster(s.now))
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a run of a life that only its clock has shown", func() {
	// inc-20: the new incarnation cuts a deadline of the earlier one's clock to the longest
	// lease, and its run started elsewhere before that had ended.
	It("goes on for the longest lease, if the worker does not answer", func() {
		s := newScene(worker("a"))
		s.pass(10 * time.Second)
		s.clock = 1_000_000
		s.poll("a", nil)
		s.add(tasks("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.Accepted, 5, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		s.poll("b", nil)
		s.pass(timing.RunLease + 800*time.Millisecond)
		Expect(s.startAll()).To(BeEmpty())
		s.pass(timing.MaxRunLease - timing.RunLease)
		s.poll("b", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a cancel that comes before its job", func() {
	// The job was started, and ran until the store's watch told of the cancel again.
	It("holds", func() {
		s := newScene(worker("a"))
		s.pool.CancelJob("j", token+2)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Cancelled))
	})
})

var _ = Describe("a machine whose ends are not kept", func() {
	// It was taken down with the only word of work that was done.
	It("is neither empty nor offered until they are", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		started := only(s.startAll())
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now.Add(time.Second)}, nil)
		s.plan()
		s.poll("a", nil, ended(started, scheduler.EndDone))
		Expect(s.pool.MachineEmpty("m-a")).To(BeFalse())
		s.save(300)
		Expect(s.pool.MachineEmpty("m-a")).To(BeTrue())
	})
})

var _ = Describe("a start of a worker that the list gives wrongly", func() {
	// Another writer's word under the worker's key shut it out for the whole ownership.
	It("does not shut the worker out once the list is right again", func() {
		s := newScene(worker("a"))
		wrong := worker("a")
		wrong.Incarnation = 99
		s.setWorkers(wrong)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.pool.RosterSaved(s.pool.Roster(s.now))
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(HaveLen(1))
	})

	// The machine's time of day was set back before the worker started again.
	It("does not shut out a next life that seems to have begun earlier", func() {
		s := newScene(worker("a"))
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 5000, Clock: 45})
		next := worker("a")
		next.Incarnation = 4000
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		s.setWorkers(next)
		s.pass(time.Second)
		Expect(s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 4000, Clock: 45})).To(BeTrue())
		s.setWorkers(next)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(HaveLen(1))
	})
})

var _ = Describe("a look that lists a part of the ends", func() {
	// A run whose end is not among those listed was taken for gone, and its task
	// started again.
	It("ends no run that it does not list", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		started := only(s.startAll())
		s.pass(time.Second)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 1, Clock: s.clock, Partial: true})
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, ended(started, scheduler.EndDone))
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
	})
})
