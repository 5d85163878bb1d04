package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a new owner whose clock is behind the former owner's", func() {
	// handOver has an owner whose clock is ahead by skew start a scheduled task on
	// worker a and release the pool. It returns a scene with the next owner.
	handOver := func(skew time.Duration) (*scene, scheduler.StartOrder) {
		scheduled := batchJob("t", 1)
		first := newScene(worker("a"), worker("b"))
		first.advance(10 * time.Second)
		scheduled.StartAt, scheduled.Repeat, scheduled.Interval = first.now.Add(skew), 1, time.Minute
		first.poll("a", nil)
		first.poll("b", nil)
		first.add(scheduled)
		started := only(first.pool.Plan(first.now, first.now.Add(skew)).Starts)
		Expect(started.Worker).To(Equal("a"))
		first.pool.StartAnswered(started, scheduler.Accepted, first.clock, first.now)
		first.advance(50 * time.Millisecond)
		roster := first.pool.Roster(first.now)
		roster.Released = true
		s := newScene()
		s.now, s.clock = first.now, first.clock
		s.pool = scheduler.NewPool("tags", token+10, timing, roster, s.now)
		s.addSaved(scheduled, token+1, scheduler.Progress{})
		s.setWorkers(worker("a"), worker("b"))
		s.plan()
		s.poll("b", nil)
		return s, started
	}

	// Incident 20: the owner acknowledged the end without applying it, and started the
	// task again when it was due.
	It("applies the end of a task that is not due yet", func() {
		s, started := handOver(1500 * time.Millisecond)
		s.advance(600 * time.Millisecond)
		s.poll("a", nil, endReport(started, scheduler.EndDone))
		Expect(s.save(400)["t"].Progress.Done).To(Equal([]byte{1}))
		for range 5 {
			s.advance(500 * time.Millisecond)
			s.poll("a", nil)
			s.poll("b", nil)
			Expect(s.startAll()).To(BeEmpty())
		}
	})

	// Incident 20: the owner stopped the run as that of an unknown task, and started
	// another one.
	It("takes over the run of a task that is not due yet", func() {
		s, started := handOver(1500 * time.Millisecond)
		s.poll("a", []scheduler.RunReport{runReport(started)})
		Expect(s.plan().Stops).To(BeEmpty())
		s.advance(1500 * time.Millisecond)
		s.poll("a", []scheduler.RunReport{runReport(started)})
		Expect(s.startAll()).To(BeEmpty())
	})

	// A reported run opens its occurrence before it is due. The other tasks still wait.
	It("starts the other tasks of the same occurrence only when they are due", func() {
		s := newScene()
		scheduled := batchJob("t", 2)
		scheduled.StartAt, scheduled.Repeat, scheduled.Interval = s.now.Add(2*time.Second), 1, time.Minute
		s.setWorkers(worker("a"))
		s.addSaved(scheduled, token-1, scheduler.Progress{})
		reported := scheduler.RunReport{Task: scheduler.TaskID{Job: "t"}, Attempt: 1, Percent: 100}
		s.poll("a", []scheduler.RunReport{reported})
		Expect(s.startAll()).To(BeEmpty())
		s.advance(2 * time.Second)
		s.poll("a", []scheduler.RunReport{reported})
		Expect(only(s.startAll()).Task.Index).To(Equal(1))
	})
})

var _ = Describe("a run that a new owner finds and stops", func() {
	small := worker("a")
	small.Capacity = scheduler.Resources{MilliCPU: 2000, MemoryMB: 2000}
	reported := []scheduler.RunReport{{Task: scheduler.TaskID{Job: "over"}, Attempt: 1, Percent: 100}}

	// Otherwise a worker that does not check its own capacity is overloaded.
	It("reserves its capacity until it has ended, if its job has ended", func() {
		s := newScene()
		s.setWorkers(small)
		s.addSaved(batchJob("over", 1), token-1, scheduler.Progress{State: scheduler.Cancelled})
		s.poll("a", reported)
		s.add(batchJob("k", 1))
		plan := s.plan()
		Expect(plan.Stops).To(HaveLen(1))
		Expect(plan.Starts).To(BeEmpty())
		s.poll("a", nil, scheduler.EndReport{Task: reported[0].Task, Attempt: 1, Kind: scheduler.EndStopped})
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	// How much capacity such a run needs is not known.
	It("prevents starts on its worker until it has ended, if its job is unknown", func() {
		s := newScene(small)
		s.poll("a", reported)
		s.add(batchJob("k", 1))
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil, scheduler.EndReport{Task: reported[0].Task, Attempt: 1, Kind: scheduler.EndStopped})
		Expect(s.plan().Starts).To(HaveLen(1))
	})
})

var _ = Describe("a best-effort task that a new owner has taken over", func() {
	// The new owner took the run as throttled to zero, did not throttle it further, and
	// the serving task stayed over its latency target.
	It("is throttled when a serving task exceeds its latency target", func() {
		serving, bestEffort := longRunningJob("s", 1), longRunningJob("f", 1)
		serving.Steps[0].Target = 100 * time.Millisecond
		bestEffort.Steps[0].BestEffort = true
		s := newScene()
		s.setWorkers(worker("a"))
		s.addSaved(serving, token-1, scheduler.Progress{})
		s.addSaved(bestEffort, token-1, scheduler.Progress{})
		throttles := 0
		for range 20 {
			s.advance(200 * time.Millisecond)
			s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "s"}, Attempt: 1, Percent: 100, LatencyOrUsage: 300}, {Task: scheduler.TaskID{Job: "f"}, Attempt: 1, Percent: 100, LatencyOrUsage: 2000}})
			throttles += len(s.plan().Throttles)
		}
		Expect(throttles).To(BeNumerically(">", 0))
	})
})
