package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a new owner whose time of day is behind the earlier one's", func() {
	// handedOver has an owner whose time of day is ahead by skew start a timed task
	// on worker a and release the pool, and returns the next owner.
	handedOver := func(skew time.Duration) (*scene, scheduler.StartOrder) {
		timed := tasks("t", 1)
		first := newScene(worker("a"), worker("b"))
		first.pass(10 * time.Second)
		timed.StartAt, timed.Repeat, timed.Interval = first.now.Add(skew), 1, time.Minute
		first.poll("a", nil)
		first.poll("b", nil)
		first.add(timed)
		started := only(first.pool.Plan(first.now, first.now.Add(skew)).Starts)
		Expect(started.Worker).To(Equal("a"))
		first.pool.StartAnswered(started, scheduler.Accepted, first.clock, first.now)
		first.pass(50 * time.Millisecond)
		roster := first.pool.Roster(first.now)
		roster.Released = true
		s := newScene()
		s.now, s.clock = first.now, first.clock
		s.pool = scheduler.NewPool("tags", token+10, timing, roster, s.now)
		s.addSaved(timed, token+1, scheduler.Progress{})
		s.setWorkers(worker("a"), worker("b"))
		s.plan()
		s.poll("b", nil)
		return s, started
	}

	// inc-20: the end was forgotten without a trace, and the task started again when
	// it was due.
	It("takes in the end of a task that is not due yet", func() {
		s, started := handedOver(1500 * time.Millisecond)
		s.pass(600 * time.Millisecond)
		s.poll("a", nil, ended(started, scheduler.EndDone))
		Expect(s.save(400)["t"].Progress.Done).To(Equal([]byte{1}))
		for range 5 {
			s.pass(500 * time.Millisecond)
			s.poll("a", nil)
			s.poll("b", nil)
			Expect(s.startAll()).To(BeEmpty())
		}
	})

	// inc-20: the run was stopped as that of no task, and another began beside it.
	It("takes over the run of a task that is not due yet", func() {
		s, started := handedOver(1500 * time.Millisecond)
		s.poll("a", []scheduler.RunReport{runs(started)})
		Expect(s.plan().Stops).To(BeEmpty())
		s.pass(1500 * time.Millisecond)
		s.poll("a", []scheduler.RunReport{runs(started)})
		Expect(s.startAll()).To(BeEmpty())
	})

	// The tasks of an occurrence that is open before its time wait for it.
	It("starts the other tasks of the same time only when they are due", func() {
		s := newScene()
		timed := tasks("t", 2)
		timed.StartAt, timed.Repeat, timed.Interval = s.now.Add(2*time.Second), 1, time.Minute
		s.setWorkers(worker("a"))
		s.addSaved(timed, token-1, scheduler.Progress{})
		row := scheduler.RunReport{Task: scheduler.TaskID{Job: "t"}, Attempt: 1, Percent: 100}
		s.poll("a", []scheduler.RunReport{row})
		Expect(s.startAll()).To(BeEmpty())
		s.pass(2 * time.Second)
		s.poll("a", []scheduler.RunReport{row})
		Expect(only(s.startAll()).Task.Index).To(Equal(1))
	})
})

var _ = Describe("a run that a new owner finds and has stopped", func() {
	small := worker("a")
	small.Capacity = scheduler.Resources{MilliCPU: 2000, MemoryMB: 2000}
	row := []scheduler.RunReport{{Task: scheduler.TaskID{Job: "over"}, Attempt: 1, Percent: 100}}

	// A worker that does not guard its capacity went over it.
	It("takes its room until it has ended, if its job is over", func() {
		s := newScene()
		s.setWorkers(small)
		s.addSaved(tasks("over", 1), token-1, scheduler.Progress{State: scheduler.Cancelled})
		s.poll("a", row)
		s.add(tasks("k", 1))
		plan := s.plan()
		Expect(plan.Stops).To(HaveLen(1))
		Expect(plan.Starts).To(BeEmpty())
		s.poll("a", nil, scheduler.EndReport{Task: row[0].Task, Attempt: 1, Kind: scheduler.EndStopped})
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	// The same where nobody knows how much room it takes.
	It("keeps new tasks from its worker until it has ended, if its job is not known", func() {
		s := newScene(small)
		s.poll("a", row)
		s.add(tasks("k", 1))
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil, scheduler.EndReport{Task: row[0].Task, Attempt: 1, Kind: scheduler.EndStopped})
		Expect(s.plan().Starts).To(HaveLen(1))
	})
})

var _ = Describe("a filling task that a new owner has taken over", func() {
	// Tasks that serve stayed over their target: the run was taken for slowed to
	// nothing.
	It("is slowed when it disturbs a serving one", func() {
		serve, filler := lasting("s", 1), lasting("f", 1)
		serve.Steps[0].Target = 100 * time.Millisecond
		filler.Steps[0].BestEffort = true
		s := newScene()
		s.setWorkers(worker("a"))
		s.addSaved(serve, token-1, scheduler.Progress{})
		s.addSaved(filler, token-1, scheduler.Progress{})
		paces := 0
		for range 20 {
			s.pass(200 * time.Millisecond)
			s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "s"}, Attempt: 1, Percent: 100, Gauge: 300}, {Task: scheduler.TaskID{Job: "f"}, Attempt: 1, Percent: 100, Gauge: 2000}})
			paces += len(s.plan().Throttles)
		}
		Expect(paces).To(BeNumerically(">", 0))
	})
})
