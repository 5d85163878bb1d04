package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a pool", func() {
	It("starts, saves and completes a job, and acknowledges ends only once they are saved", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 2))
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.poll("a", []scheduler.RunReport{runReport(started[1])}, endReport(started[0], scheduler.EndDone))
		Expect(s.pool.HasUnsavedEnds("a")).To(BeTrue())
		req, _ := s.pool.NextPoll("a", s.now)
		Expect(req.AckedEnds).To(BeZero())
		Expect(s.save(201)["j"].Progress.State).To(Equal(scheduler.Active))
		req, _ = s.pool.NextPoll("a", s.now)
		Expect(req.AckedEnds).To(BeEquivalentTo(1))
		s.poll("a", nil, endReport(started[1], scheduler.EndDone))
		last := s.save(202)["j"]
		Expect(last.Progress.State).To(Equal(scheduler.Completed))
		Expect(last.Remove).To(BeTrue())
		Expect(last.Revision).To(BeEquivalentTo(201))
	})

	// A job whose start the worker had refused was saved as active, so that the pool's
	// report had 0 waiting jobs instead of 4 (bench, trouble-3 of the Registry).
	It("saves a job as active only once a worker has accepted a task", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.InsufficientCapacity, s.clock, s.now)
		Expect(s.save(201)).To(BeEmpty())
		s.advance(time.Second)
		s.startAll()
		Expect(s.save(202)["j"].Progress.State).To(Equal(scheduler.Active))
	})

	It("starts a step only after all tasks of the steps before it are done", func() {
		s := newScene(worker("a"))
		sub := batchJob("j", 2)
		sub.Steps = append(sub.Steps, scheduler.Step{Count: 1, Need: sub.Steps[0].Need, After: []int{0}})
		s.add(sub)
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.poll("a", []scheduler.RunReport{runReport(started[1])}, endReport(started[0], scheduler.EndDone))
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, endReport(started[1], scheduler.EndDone))
		Expect(only(s.startAll()).Task.Step).To(Equal(1))
	})

	It("does not exceed a worker's capacity, counting runs that are being stopped", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 17))
		started := s.startAll()
		Expect(started).To(HaveLen(16))
		s.pool.CancelJob("j", 300)
		s.add(batchJob("k", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.advance(time.Second)
		s.poll("a", nil, endReport(started[0], scheduler.EndStopped))
		Expect(only(s.startAll()).Task.Job).To(Equal("k"))
	})

	// The store had compacted its history, so the watcher read all keys again, and that
	// read still held a job that had just ended (bench, scale-2 of the Registry, seed
	// 172926394782).
	It("does not start a job again after its end", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.poll("a", nil, endReport(only(s.startAll()), scheduler.EndDone))
		s.save(201)
		s.plan()
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
	})

	// The owner had saved three failures and was stopped before it had acknowledged their
	// ends to the worker (bench, trouble-2 of the Registry).
	It("counts a failed run once, even if its end is reported to a later owner again", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(batchJob("j", 1))
		first := only(s.startAll())
		s.poll(first.Worker, nil, endReport(first, scheduler.EndFailed))
		saved := s.save(201)["j"].Progress

		later := newScene(worker("a"), worker("b"))
		later.addSaved(batchJob("j", 1), token-1, saved)
		for n := range 3 {
			later.poll(first.Worker, nil, scheduler.EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Kind: scheduler.EndFailed})
			second := only(later.startAll())
			Expect(second.Attempt).To(Equal(n + 2))
			later.lastEnd[second.Worker] = max(later.lastEnd[second.Worker], 1)
			later.poll(second.Worker, nil, endReport(second, scheduler.EndFailed))
		}
		Expect(later.save(301)["j"].Progress.State).To(Equal(scheduler.Failed))
	})

	// The owner that released the pool had just ordered a stop, which takes up to
	// StopTimeout on the worker (bench, trouble-2 of the Registry, seed
	// 891246663373).
	It("stops long-running tasks to empty a machine only once a former owner's stops have ended", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.addSaved(longRunningJob("j", 2), token-1, scheduler.Progress{})
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now}, nil)
		reported := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}
		s.poll("a", []scheduler.RunReport{reported})
		reported.Task.Index = 1
		s.poll("b", []scheduler.RunReport{reported})
		Expect(s.plan().Stops).To(BeEmpty())
		s.advance(timing.StopTimeout + time.Second)
		Expect(only(s.plan().Stops).Worker).To(Equal("a"))
	})

	// The other task's worker was dead, and its lease had not expired yet
	// (bench, a day of the Safety Cell, hunt-eef6-15).
	It("counts long-running tasks on a worker that does not answer as unavailable", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.add(longRunningJob("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.poll(o.Worker, []scheduler.RunReport{runReport(o)})
		}
		s.advance(timing.StopTimeout + time.Second)
		s.pool.PollFailed(started[0].Worker, scheduler.NoResponse, s.now)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + started[1].Worker: s.now}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	It("stops one long-running task at a time to empty machines", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(longRunningJob("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.poll(o.Worker, []scheduler.RunReport{runReport(o)})
		}
		s.advance(timing.StopTimeout + time.Second)
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + started[0].Worker: s.now, "m-" + started[1].Worker: s.now}, nil)
		first := only(s.plan().Stops)
		s.pool.StopAnswered(first, scheduler.Accepted, s.now)
		s.poll(first.Worker, nil, scheduler.EndReport{Task: first.Task, Attempt: first.Attempt, Kind: scheduler.EndStopped})
		again := only(s.startAll())
		Expect(s.plan().Stops).To(BeEmpty(), "no poll reply has shown the new run of the first task")
		s.poll(again.Worker, []scheduler.RunReport{runReport(again)})
		Expect(s.plan().Stops).To(HaveLen(1))
	})
})
