package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a job that became late while the store was down", func() {
	var s *scene
	var offers []string

	BeforeEach(func() {
		var workers []scheduler.WorkerInfo
		for i := range 12 {
			workers = append(workers, worker(fmt.Sprintf("w%02d", i)))
		}
		s = newScene(workers...)
		s.pool.SetShare(12, 0)
		s.advance(time.Minute)
		for _, w := range workers {
			s.poll(w.ID, nil)
		}
		s.plan()
		offers = s.pool.CapacityReport(s.now).Offers
		s.pool.SetOffered(offers)
	})

	// becomeLate adds the job, whose turn comes only after it is of no use to its caller.
	becomeLate := func(sub scheduler.Submission) {
		sub.AcceptedAt = s.now.Add(-time.Minute)
		s.pool.AddJob(sub, token+1, token+1, scheduler.Progress{}, s.now)
	}

	// takeBack has the offers withdrawn that the pool's report names, once the job has
	// waited for a while.
	takeBack := func() []string {
		s.startAll()
		s.advance(600 * time.Millisecond)
		s.startAll()
		back := s.pool.CapacityReport(s.now).TakeBack
		for _, m := range back {
			s.pool.WithdrawOffer(m)
		}
		return back
	}

	// Guards against a gang that never starts as its pool keeps offering the machines that
	// it needs: late jobs did not count as work (review/3).
	It("has as many offered machines taken back as its gang needs, and starts", func() {
		members := 2*(12-len(offers)) + 1
		becomeLate(gangJob("j", members))
		Expect(takeBack()).To(HaveLen(1))
		Expect(s.startAll()).To(HaveLen(members))
	})

	// The same failure for a task that no machine that stays can run.
	It("goes on with one task at a time, which is as much as it is owed", func() {
		job := batchJob("j", 5)
		job.Steps[0].Label = "rack-0"
		labelled := []scheduler.WorkerInfo{}
		for i := range 12 {
			w := worker(fmt.Sprintf("w%02d", i))
			if i < 2 {
				w.Labels = []string{"rack-0"}
			}
			labelled = append(labelled, w)
		}
		s.setWorkers(labelled...)
		job.Steps[0].Need.MilliCPU = 32000
		becomeLate(job)
		Expect(takeBack()).To(HaveLen(1))
		Expect(s.startAll()).To(HaveLen(1))
		Expect(takeBack()).To(BeEmpty())
	})

	// The same failure for a pool without any machine.
	It("has its pool ask for a machine if it has none", func() {
		for _, m := range offers {
			s.pool.OfferTaken(m)
		}
		s.setWorkers()
		s.pool.SetShare(1, 0)
		becomeLate(batchJob("j", 1))
		takeBack()
		Expect(s.pool.CapacityReport(s.now).Need).To(Equal(1))
	})

	// Jobs with the least work went first, so that a large one never came while others
	// became late too.
	It("goes before jobs that were accepted later and are late too", func() {
		becomeLate(batchJob("first", 200))
		s.startAll()
		s.advance(time.Second)
		sub := batchJob("second", 1)
		sub.AcceptedAt = s.now.Add(-30 * time.Second)
		s.pool.AddJob(sub, token+1, token+1, scheduler.Progress{}, s.now)
		s.pool.WithdrawOffer(offers[0])
		Expect(s.startAll()).To(HaveEach(HaveField("Task.Job", "first")))
	})
})

var _ = Describe("a job that is handed in before its time", func() {
	// Its lateness counted from its acceptance: it was late before it could begin, and went
	// after all others.
	It("goes before a job with less credit to win once its time has come", func() {
		s := newScene(worker("a"))
		timed := batchJob("timed", 16)
		timed.StartAt = s.now.Add(time.Minute)
		s.add(timed)
		s.advance(time.Minute)
		s.poll("a", nil)
		other := batchJob("other", 16)
		other.Steps[0].Estimate = 2 * time.Second
		s.add(other)
		Expect(s.startAll()).To(HaveEach(HaveField("Task.Job", "timed")))
	})
})
