package scheduler_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review of issue 47: where tasks run, and whether they run at all, while copies of their
// starts are open.
var _ = Describe("a task with an open start", func() {
	// refused returns a scene in which a start on a got no answer and its second copy no
	// room, and b is free.
	refused := func(job scheduler.Submission) (*scene, scheduler.StartOrder) {
		s := newScene(worker("a"))
		s.add(job)
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.InsufficientCapacity, s.clock, s.now)
		s.poll("a", nil)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		return s, first
	}

	// AVAIL, LOST: the stop takes the task away for up to 20 s, as it may start nowhere else.
	It("is not stopped to move off a draining worker, as it may not start elsewhere yet", func() {
		s := newScene(worker("a"))
		s.add(longRunningJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.advance(timing.StopTimeout + time.Second)
		s.poll("a", []scheduler.RunReport{runReport(again)})
		s.setWorkers(drained("a"), worker("b"))
		s.poll("b", nil)
		stops := s.plan().Stops
		if len(stops) == 0 {
			return
		}
		s.pool.StopAnswered(stops[0], scheduler.Accepted, s.now)
		s.advance(time.Millisecond)
		s.poll("a", nil, endReport(again, scheduler.EndStopped))
		Expect(startTexts(s.startAll())).To(Equal([]string{"j/0@b#2"}), "it was stopped for that")
	})

	It("is not stopped to empty a machine, as it may not start elsewhere yet", func() {
		s := newScene(worker("a"))
		s.add(longRunningJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.advance(timing.StopTimeout + time.Second)
		s.poll("a", []scheduler.RunReport{runReport(again)})
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now.Add(time.Second)}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	// The platform's page: another incarnation than the one that a call names refuses it. A
	// new ID at the address is one, so no copy can be carried out there any more.
	It("starts elsewhere once another worker runs at the address of the former one", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.advance(timing.MaxRunLease + time.Second) // a run there would have ended
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.pool.PollFailed("a", scheduler.OtherIncarnation, s.now)
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"j/0@b#2"}))
	})

	// The run was kept until the outcome of a poll was known, and its open start after that.
	It("starts elsewhere once another worker refuses a start there, also while a poll has no outcome", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 2))
		starts := s.plan().Starts
		Expect(starts).To(HaveLen(2))
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(starts[0], scheduler.NoResponse, 0, s.now)
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.pool.StartAnswered(starts[1], scheduler.OtherIncarnation, 0, s.now)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.advance(time.Millisecond)
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).To(ConsistOf("j/0@b#2", "j/1@b#2"))
	})

	// LOST: a job must not have nothing running for 3 s while there is room.
	It("is not without a run for 3 s as its worker refuses it for want of room", func() {
		s, _ := refused(longRunningJob("j", 1))
		accepted := 0
		for range 7 {
			s.advance(500 * time.Millisecond)
			s.poll("a", nil)
			s.poll("b", nil)
			for _, o := range s.plan().Starts {
				if o.Worker == "a" {
					s.pool.StartAnswered(o, scheduler.InsufficientCapacity, s.clock, s.now)
					continue
				}
				s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
				accepted++
			}
		}
		Expect(accepted).To(Equal(1))
	})

	// TWICE: a worker carries out each attempt of a task once, and a later attempt beside it.
	It("is not started with another attempt number that its next incarnation would run beside the first", func() {
		s, first := refused(batchJob("j", 1))
		s.advance(time.Second)
		s.poll("a", nil)
		second := only(s.plan().Starts)
		Expect(second.Worker).To(Equal("a"))
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(second, scheduler.NoResponse, 0, s.now)

		restarted := newSimWorker(worker("a"), s.now, map[scheduler.TaskID]int{}, func(scheduler.EndReport) {})
		random := rand.New(rand.NewSource(1))
		Expect(restarted.start(first, s.now, random)).To(Equal(scheduler.Accepted))
		Expect(restarted.running).To(HaveLen(1))
		attempt := restarted.running[first.Task].attempt
		if restarted.start(second, s.now, random) == scheduler.Accepted {
			Expect(restarted.running[first.Task].attempt).To(Equal(attempt), "two runs of the task at one time")
		}
	})

	// A late poll with a deadline extends the lease of the late run. What is known of polls
	// that were sent is forgotten with a worker that left the list.
	It("starts elsewhere only once late polls can't extend its run, also if its worker left the list", func() {
		s := newScene(worker("a"))
		s.add(batchJob("k", 1)) // goes on, so that a is polled
		other := only(s.startAll())
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", []scheduler.RunReport{runReport(other)})
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.InsufficientCapacity, s.clock, s.now)
		s.poll("a", []scheduler.RunReport{runReport(other)})
		s.setWorkers(drained("a"))
		for range 5 {
			s.advance(time.Second)
			s.poll("a", []scheduler.RunReport{runReport(other)})
		}
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Deadline).NotTo(BeZero())
		lastPoll := s.now
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.setWorkers(worker("b"))
		s.silent("a")
		s.advance(timing.MaxRunLease)
		s.plan()
		s.plan()
		Expect(s.pool.HasWorker("a")).To(BeFalse())
		s.advance(lastPoll.Add(timing.LateCalls + timing.MaxRunLease - 100*time.Millisecond).Sub(s.now))
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).NotTo(ContainElement("j/0@b#2"), "that poll may have extended the lease of a late run until now")
	})

	// GANG, LOST: the other members take the room on the only worker that one may start on.
	It("has its room before the other members of its gang", func() {
		s := newScene(worker("a"))
		s.add(gangJob("j", 2))
		starts := s.plan().Starts
		Expect(starts).To(HaveLen(2))
		s.pool.StartAnswered(starts[0], scheduler.Accepted, s.clock, s.now)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(starts[1], scheduler.NoResponse, 0, s.now)
		s.poll("a", []scheduler.RunReport{runReport(starts[0])})
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.InsufficientCapacity, s.clock, s.now)
		s.poll("a", nil, endReport(starts[0], scheduler.EndIncompleteGang))
		half := worker("a")
		half.Capacity.MilliCPU = 16000 // the rest is in use
		s.setWorkers(half, worker("b"))
		s.poll("b", nil)
		s.advance(time.Second)
		s.poll("a", nil)
		Expect(startTexts(s.plan().Starts)).To(ConsistOf("j/0@b#2", "j/1@a#2"))
	})

	// UNASKED: a run that a worker started late has to be gone soon after, also if the platform
	// lists the restart seconds later.
	It("of a cancelled job is looked for on a worker that is idle", func() {
		s := newScene(worker("a"))
		s.advance(timing.FormerOwnerLease) // idle workers are polled until then
		s.poll("a", nil)
		s.plan()
		s.poll("a", nil)
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.pool.CancelJob("j", 200)
		s.plan()
		s.poll("a", nil)
		s.plan()
		s.advance(time.Second)
		s.plan()
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue(), "the worker may have restarted and carried out the start")
	})
})
