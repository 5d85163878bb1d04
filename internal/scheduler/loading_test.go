package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a pool whose jobs are being read", func() {
	task := scheduler.TaskID{Job: "j"}
	reported := []scheduler.RunReport{{Task: task, Attempt: 1, Percent: 100}}
	granted := timing.RunLease + timing.RunLease/10 // longer than any lease that a poll grants
	var s *scene

	// load has time pass with a poll of worker a each second, and then the jobs read.
	load := func(d time.Duration, ends ...scheduler.EndReport) {
		for range int(d / time.Second) {
			s.advance(time.Second)
			req, due := s.pool.NextPoll("a", s.now)
			Expect(due).To(BeTrue())
			Expect(req.AckedEnds).To(BeZero())
			s.applyReply("a", reported, ends, req)
			plan := s.plan()
			Expect(plan.Starts).To(BeEmpty())
			Expect(plan.Stops).To(BeEmpty())
		}
		s.addSaved(longRunningJob("j", 1), token-1, scheduler.Progress{})
		s.pool.EndLoad()
	}

	BeforeEach(func() {
		s = newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "a", Machine: "m-a"}}}, s.now)
		s.pool.BeginLoad()
		s.setWorkers(worker("a"), worker("b"))
	})

	// The leases of the former owner's runs ended while the next one read the jobs.
	It("extends leases from the second poll of a worker on, and adopts the runs afterwards", func() {
		s.poll("a", reported)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Deadline).To(BeNumerically(">=", s.clock+timing.RunLease.Milliseconds()))
		load(10 * time.Second)
		s.poll("a", reported)
		s.poll("b", nil)
		plan := s.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Stops).To(BeEmpty())
		Expect(s.pool.Counts().Adopted).To(BeEquivalentTo(1))
	})

	// A task whose lease was extended runs on where nobody can see it.
	It("starts no task of a worker that falls silent before the extended leases have ended", func() {
		load(10 * time.Second)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.poll("b", nil)
		s.advance(timing.RunLease - 500*time.Millisecond)
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
		s.advance(granted - timing.RunLease + time.Second)
		s.poll("b", nil)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	// A poll that extends leases may be carried out although its reply is lost.
	It("counts the leases as extended by a poll without a reply", func() {
		load(10 * time.Second)
		s.advance(time.Second)
		_, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.advance(timing.RunLease - 500*time.Millisecond)
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
	})

	// A poll for one incarnation may reach the next one, whose clock starts anew: its
	// leases may then last for the longest time.
	It("waits for the longest lease of a worker that has restarted meanwhile", func() {
		load(10 * time.Second)
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next, worker("b"))
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.advance(granted + 100*time.Millisecond)
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
		s.advance(timing.MaxRunLease + time.Second - granted)
		s.poll("b", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})

	// Issue 20: an end that its owner does not apply must stay listed.
	It("applies an end that was listed meanwhile only once the jobs are there", func() {
		end := scheduler.EndReport{Number: 1, Task: task, Attempt: 1, Kind: scheduler.EndFailed}
		reported = nil
		load(3*time.Second, end)
		Expect(s.pool.Counts().FailedRuns).To(BeZero())
		s.poll("a", nil, end)
		Expect(s.pool.Counts().FailedRuns).To(BeEquivalentTo(1))
	})

	// The next owner would start the tasks of a worker that this roster leaves out.
	It("has a roster that names all workers of the last one, and none as down", func() {
		load(10 * time.Second)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		roster := s.pool.Roster(s.now)
		Expect(roster.Workers).To(HaveLen(2))
		Expect(roster.Workers[0].ID).To(Equal("a"))
		Expect(roster.Workers[0].Down).To(BeFalse())
	})
})
