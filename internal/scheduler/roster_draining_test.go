package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// LOST (bench, scale-2 of the Flower Press grown, issue 32): a worker drained, and left while
// its owner did not reach the store. All older tasks waited 12 s for the runs that the next
// owner supposed there, long-running ones among them whose leases had ended elsewhere.
var _ = Describe("a worker that drained and left before the pool changed its owner", func() {
	// nextOwner returns the scene of the next owner, which finds roster and reaches b only.
	nextOwner := func(roster scheduler.WorkerRoster) *scene {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("b"))
		s.poll("b", nil)
		return s
	}

	It("holds back no task that did not run there", func() {
		first := newScene(worker("a"), worker("b"))
		first.setWorkers(drained("a"), worker("b"))
		s := nextOwner(first.pool.Roster(first.now))
		s.addSaved(longRunningJob("lasting", 1), token-1, scheduler.Progress{})
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	It("holds back the tasks that ran there, until their leases have ended", func() {
		first := newScene(worker("a"))
		first.add(batchJob("j", 1))
		first.poll("a", []scheduler.RunReport{runReport(only(first.startAll()))})
		first.setWorkers(drained("a"))
		s := nextOwner(first.pool.Roster(first.now))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.addSaved(batchJob("k", 1), token-1, scheduler.Progress{})
		Expect(only(s.startAll()).Task.Job).To(Equal("k"))
	})

	// Ends that no reply has listed yet are not known.
	It("holds back all tasks if its owner did not know what ran there", func() {
		first := newScene()
		first.setWorkers(drained("a"))
		s := nextOwner(first.pool.Roster(first.now))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		Expect(s.startAll()).To(BeEmpty())
	})

	It("gets no task if it drains no more, until a roster is saved that says so", func() {
		s := newScene(worker("a"))
		s.setWorkers(drained("a"))
		s.pool.SetWorkers([]scheduler.WorkerInfo{worker("a")}, s.now)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.RosterSaved(s.pool.Roster(s.now))
		Expect(s.startAll()).To(HaveLen(1))
	})

	// A start that is not answered yet may be carried out.
	It("holds back the tasks whose starts were sent before it drained", func() {
		first := newScene(worker("a"))
		first.add(batchJob("j", 1))
		first.plan()
		first.pool.SetWorkers([]scheduler.WorkerInfo{drained("a")}, first.now)
		s := nextOwner(first.pool.Roster(first.now))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.advance(time.Second)
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
	})
})
