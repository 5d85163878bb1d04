package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review case 9 (AVAIL): stops on draining workers did not count against what a step allows
// to be unavailable, so a stop on a machine to be emptied could end one task too many.
var _ = Describe("a step that allows one of its long-running tasks to be unavailable", func() {
	var s *scene
	var runs []scheduler.StartOrder
	var workers []scheduler.WorkerInfo
	start := func(tasks, unavailable int) {
		workers = nil
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			workers = append(workers, worker(id))
		}
		s = newScene(workers...)
		job := longRunningJob("j", tasks)
		job.Steps[0].MaxUnavailable = unavailable
		s.add(job)
		runs = s.startAll()
		Expect(runs).To(HaveLen(tasks))
		s.advance(timing.StopTimeout + time.Second)
	}
	BeforeEach(func() { start(3, 1) })

	atWork := func(of ...scheduler.StartOrder) {
		for _, o := range of {
			s.poll(o.Worker, []scheduler.RunReport{runReport(o)})
		}
	}
	empty := func(of ...scheduler.StartOrder) {
		machines := map[string]time.Time{}
		for _, o := range of {
			machines["m-"+o.Worker] = s.now.Add(time.Second)
		}
		s.pool.SetMachinesToEmpty(machines, nil)
	}
	drain := func(of ...scheduler.StartOrder) {
		for i := range workers {
			for _, o := range of {
				workers[i].Draining = workers[i].Draining || workers[i].ID == o.Worker
			}
		}
		s.setWorkers(workers...)
	}
	stops := func(orders []scheduler.StopOrder) []string {
		var ids []string
		for _, o := range orders {
			ids = append(ids, o.Worker)
		}
		return ids
	}
	ended := func(o scheduler.StopOrder) {
		s.pool.StopAnswered(o, scheduler.Accepted, s.now)
		s.poll(o.Worker, nil, scheduler.EndReport{Task: o.Task, Attempt: o.Attempt, Kind: scheduler.EndStopped})
	}

	It("has no task stopped on a draining worker while the stop of another task may not be over", func() {
		atWork(runs...)
		empty(runs[0])
		first := only(s.plan().Stops)
		Expect(first.Worker).To(Equal(runs[0].Worker))
		drain(runs[1])
		Expect(s.plan().Stops).To(BeEmpty())
		ended(first)
		Expect(stops(s.plan().Stops)).To(Equal([]string{runs[1].Worker}))
	})

	It("has tasks stopped on draining workers first", func() {
		for range 20 { // the order of the workers varies
			start(3, 1)
			atWork(runs...)
			empty(runs[0])
			drain(runs[1], runs[2])
			Expect(stops(s.plan().Stops)).To(ConsistOf(runs[1].Worker, runs[2].Worker))
		}
	})

	It("has as many tasks stopped on draining workers beside another stop as it allows", func() {
		start(4, 2)
		atWork(runs...)
		empty(runs[0])
		Expect(s.plan().Stops).To(HaveLen(1))
		drain(runs[1], runs[2])
		Expect(s.plan().Stops).To(HaveLen(1))
	})

	It("has no stop sent again once another task has become unavailable", func() {
		atWork(runs...)
		empty(runs[0])
		first := only(s.plan().Stops)
		s.pool.StopAnswered(first, scheduler.NoResponse, s.now)
		s.pool.PollFailed(runs[1].Worker, scheduler.NoResponse, s.now)
		s.advance(timing.OrderTimeout)
		Expect(s.plan().Stops).To(BeEmpty())
		atWork(runs...)
		Expect(stops(s.plan().Stops)).To(Equal([]string{runs[0].Worker}))
	})

	It("has its tasks stopped again, whatever that takes away, once its job is cancelled", func() {
		atWork(runs...)
		empty(runs[0])
		s.pool.StopAnswered(only(s.plan().Stops), scheduler.NoResponse, s.now)
		s.pool.PollFailed(runs[1].Worker, scheduler.NoResponse, s.now)
		s.advance(timing.OrderTimeout)
		s.pool.CancelJob("j", 300)
		Expect(stops(s.plan().Stops)).To(ContainElement(runs[0].Worker))
	})

	// The former owner may have ordered a stop just before the worker answered this one.
	It("has no task stopped until stops of a former owner that had reached the last worker are over", func() {
		s = newScene()
		s.setWorkers(workers...)
		s.addSaved(longRunningJob("j", 2), token-1, scheduler.Progress{})
		reported := []scheduler.RunReport{{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}, {Task: scheduler.TaskID{Job: "j", Index: 1}, Attempt: 1, Percent: 100}}
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now.Add(time.Second)}, nil)
		for _, w := range workers[2:] {
			s.poll(w.ID, nil)
		}
		s.poll("a", reported[:1])
		s.plan()
		s.advance(timing.StopTimeout + time.Second)
		s.poll("a", reported[:1])
		s.poll("b", reported[1:])
		Expect(s.plan().Stops).To(BeEmpty())
		s.advance(timing.StopTimeout + 400*time.Millisecond)
		Expect(stops(s.plan().Stops)).To(Equal([]string{"a"}))
	})
})
