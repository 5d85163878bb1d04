package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a pool", func() {
	It("starts, saves and completes a job, and forgets ends only once they are kept", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 2))
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.poll("a", []scheduler.RunReport{runs(started[1])}, ended(started[0], scheduler.EndDone))
		Expect(s.pool.HasUnsavedEnds("a")).To(BeTrue())
		req, _ := s.pool.NextPoll("a", s.now)
		Expect(req.AckedEnds).To(BeZero())
		Expect(s.save(201)["j"].Progress.State).To(Equal(scheduler.Active))
		req, _ = s.pool.NextPoll("a", s.now)
		Expect(req.AckedEnds).To(BeEquivalentTo(1))
		s.poll("a", nil, ended(started[1], scheduler.EndDone))
		last := s.save(202)["j"]
		Expect(last.Progress.State).To(Equal(scheduler.Completed))
		Expect(last.Remove).To(BeTrue())
		Expect(last.Revision).To(BeEquivalentTo(201))
	})

	// trouble-3 of the Registry: 0 jobs were said to wait, and 4 did.
	It("counts as begun only once a worker has taken a task", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.NoRoom, s.clock, s.now)
		Expect(s.save(201)).To(BeEmpty())
		s.pass(time.Second)
		s.startAll()
		Expect(s.save(202)["j"].Progress.State).To(Equal(scheduler.Active))
	})

	It("starts a step only after all tasks of the steps before it", func() {
		s := newScene(worker("a"))
		sub := tasks("j", 2)
		sub.Steps = append(sub.Steps, scheduler.Step{Count: 1, Need: sub.Steps[0].Need, After: []int{0}})
		s.add(sub)
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.poll("a", []scheduler.RunReport{runs(started[1])}, ended(started[0], scheduler.EndDone))
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, ended(started[1], scheduler.EndDone))
		Expect(only(s.startAll()).Task.Step).To(Equal(1))
	})

	It("keeps within a worker's capacity, counting what is being stopped", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 17))
		started := s.startAll()
		Expect(started).To(HaveLen(16))
		s.pool.CancelJob("j", 300)
		s.add(tasks("k", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pass(time.Second)
		s.poll("a", nil, ended(started[0], scheduler.EndStopped))
		Expect(only(s.startAll()).Task.Job).To(Equal("k"))
	})

	// scale-2 of the Registry, seed 172926394782: the store had forgotten its
	// history, and what was read anew still held a job that had just ended.
	It("does not take up a job again that it has seen to its end", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.poll("a", nil, ended(only(s.startAll()), scheduler.EndDone))
		s.save(201)
		s.plan()
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
	})

	// trouble-2 of the Registry: the owner had kept three failures and was
	// stopped before the worker was told to forget their ends.
	It("counts a failed run once, though its end is listed to a later owner again", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.startAll())
		s.poll(first.Worker, nil, ended(first, scheduler.EndFailed))
		kept := s.save(201)["j"].Progress

		later := newScene(worker("a"), worker("b"))
		later.addSaved(tasks("j", 1), token-1, kept)
		for n := range 3 {
			later.poll(first.Worker, nil, scheduler.EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Kind: scheduler.EndFailed})
			second := only(later.startAll())
			Expect(second.Attempt).To(Equal(n + 2))
			later.ends[second.Worker] = max(later.ends[second.Worker], 1)
			later.poll(second.Worker, nil, ended(second, scheduler.EndFailed))
		}
		Expect(later.save(301)["j"].Progress.State).To(Equal(scheduler.Failed))
	})

	// trouble-2 of the Registry, seed 891246663373: the owner that handed over
	// had just ordered a stop, which takes a while.
	It("stops lasting tasks for a machine's sake only once an earlier owner's stops are over", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.addSaved(lasting("j", 2), token-1, scheduler.Progress{})
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now}, nil)
		row := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}
		s.poll("a", []scheduler.RunReport{row})
		row.Task.Index = 1
		s.poll("b", []scheduler.RunReport{row})
		Expect(s.plan().Stops).To(BeEmpty())
		s.pass(timing.StopTimeout + time.Second)
		Expect(only(s.plan().Stops).Worker).To(Equal("a"))
	})

	// A day of the Safety Cell (hunt-eef6-15): the other task's worker was dead,
	// and its lease had not ended yet.
	It("counts lasting tasks on a worker that does not answer as away", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.add(lasting("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.poll(o.Worker, []scheduler.RunReport{runs(o)})
		}
		s.pass(timing.StopTimeout + time.Second)
		s.pool.PollFailed(started[0].Worker, scheduler.Unanswered, s.now)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + started[1].Worker: s.now}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	It("stops one lasting task at a time to empty machines", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(lasting("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.poll(o.Worker, []scheduler.RunReport{runs(o)})
		}
		s.pass(timing.StopTimeout + time.Second)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + started[0].Worker: s.now, "m-" + started[1].Worker: s.now}, nil)
		first := only(s.plan().Stops)
		s.pool.StopAnswered(first, scheduler.Accepted, s.now)
		s.poll(first.Worker, nil, scheduler.EndReport{Task: first.Task, Attempt: first.Attempt, Kind: scheduler.EndStopped})
		again := only(s.startAll())
		Expect(s.plan().Stops).To(BeEmpty(), "the first has not been seen at work")
		s.poll(again.Worker, []scheduler.RunReport{runs(again)})
		Expect(s.plan().Stops).To(HaveLen(1))
	})
})
