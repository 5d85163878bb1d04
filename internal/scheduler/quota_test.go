package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/quota"
	"persimmonbay/internal/scheduler"
)

// teamJob returns a job of n tasks of 2 cores of a team.
func teamJob(id, team string, n int) scheduler.Submission {
	sub := batchJob(id, n)
	sub.Team = team
	return sub
}

// limitOf returns the limits of one team that may have so many cores running, of a cap of 64.
func limitOf(team string, cores int) map[string]quota.Limit {
	return map[string]quota.Limit{team: {Cap: quota.Amount{MilliCPU: 64000}, Running: quota.Amount{MilliCPU: cores * 1000}}}
}

// QUOTA (issue 50): nothing counted what a team had running.
var _ = Describe("a pool with a limit for a team", func() {
	var s *scene
	used := func(team string) int { return s.pool.QuotaDemands()[team].Used.MilliCPU / 1000 }
	BeforeEach(func() { s = newScene(worker("a"), worker("b")) })

	It("starts what the team has room for, and all of the others", func() {
		s.pool.SetQuotaLimits(limitOf("small", 6))
		s.add(teamJob("j1", "small", 8))
		s.add(teamJob("j2", "other", 4))
		s.add(batchJob("j3", 4))
		Expect(s.plan().Starts).To(HaveLen(3 + 4 + 4))
		Expect(used("small")).To(Equal(6))
		Expect(s.pool.QuotaDemands()["small"].Waiting.MilliCPU).To(Equal(10000))
		s.pool.SetQuotaLimits(limitOf("small", 8))
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	It("starts a gang whole or not at all, and what is too large blocks nothing", func() {
		s.pool.SetQuotaLimits(limitOf("small", 6))
		gang := teamJob("gang", "small", 4)
		gang.Steps[0].Gang = true
		s.add(gang)
		large := teamJob("large", "small", 1)
		large.Steps[0].Need.MilliCPU = 65000
		s.add(large)
		s.add(teamJob("j", "small", 1))
		Expect(only(s.plan().Starts).Task.Job).To(Equal("j"))
		s.advance(2 * time.Second)
		s.poll("a", nil)
		s.pool.SetQuotaLimits(limitOf("small", 10))
		Expect(s.plan().Starts).To(HaveLen(4))
	})

	It("counts a run until its end is known or its lease is over", func() {
		s.pool.SetQuotaLimits(limitOf("small", 2))
		s.add(teamJob("j", "small", 2))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.Accepted, 0, s.now)
		s.pool.PollFailed(first.Worker, scheduler.NoResponse, s.now)
		s.advance(2 * time.Second)
		Expect(s.plan().Starts).To(BeEmpty(), "its worker is cut off")
		s.poll(first.Worker, nil, endReport(first, scheduler.EndDone))
		Expect(used("small")).To(BeZero())
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	It("counts a start that a later incarnation of its worker may carry out", func() {
		s.pool.SetQuotaLimits(limitOf("small", 64))
		s.add(teamJob("j", "small", 1))
		first := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll(first.Worker, nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.Accepted, 0, s.now)
		s.poll(first.Worker, nil, endReport(again, scheduler.EndDone))
		Expect(used("small")).To(Equal(2))
		s.add(teamJob("k", "small", 16))
		s.plan()
		Expect(used("small")).To(Equal(32), "not on top of what runs there now")
		start := s.pool.Roster(s.now).OpenStarts[0]
		Expect(start.Charge).To(Equal(&quota.Charge{Team: "small", Amount: quota.Amount{MilliCPU: 2000, MemoryMB: 1000}}))
	})

	It("reckons with what a former owner may have started on workers that have not answered", func() {
		roster := scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "a"}, {ID: "b"}}}
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.pool.SetQuotaLimits(limitOf("small", 40))
		s.pool.SetInheritedGrant("small", quota.Amount{MilliCPU: 36000})
		s.poll("a", nil)
		s.pool.AddJob(teamJob("j", "small", 12), token+1, token+1, scheduler.Progress{}, s.now)
		Expect(s.plan().Starts).To(HaveLen(4), "b may run 32 cores of the former owner's")
		s.poll("b", nil)
		Expect(s.plan().Starts).To(HaveLen(8))
	})
})
