package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// releasedRoster is the roster of a former owner that sends no orders any more.
var releasedRoster = scheduler.WorkerRoster{Released: true, Quiet: true}

var _ = Describe("a new owner of a pool that was not released", func() {
	// Guards against a task that runs twice under two owners (review/1): all workers had
	// answered the later one, then one of them started again and accepted the former
	// owner's start, before the platform listed that.
	It("starts no older job while a former owner may send orders, though all workers have answered", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		s.add(batchJob("new", 1))
		started := only(s.startAll())
		Expect(started.Task.Job).To(Equal("new"))
		Expect(started.Worker).To(Equal("a"))
		s.advance(timing.StopTimeout + time.Second)
		Expect(s.startAll()).To(BeEmpty())
		ordersEnd := time.Unix(1_700_000_000, 0).Add(timing.FormerOwnerLease)
		Expect(s.plan().Next).To(BeTemporally("~", ordersEnd, 100*time.Millisecond))
		s.advance(timing.FormerOwnerLease)
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", []scheduler.RunReport{runReport(started)})
		Expect(s.startAll()).To(BeEmpty())
		s.poll("b", nil)
		Expect(only(s.startAll()).Task.Job).To(Equal("old"))
	})

	// The same failure: the former owner's run was not known when its lease was over.
	It("takes over a run that a former owner has started on a worker which restarted unnoticed", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		s.plan()
		s.advance(timing.FormerOwnerLease)
		s.plan()
		s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "old"}, Attempt: 1, Percent: 100}})
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
	})
})
