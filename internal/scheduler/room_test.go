package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a task that waits for room in a pool that offers machines", func() {
	var s *scene
	var workers []scheduler.WorkerInfo

	// report returns the pool's report after the task has waited for a while.
	report := func() scheduler.CapacityReport {
		s.startAll()
		s.advance(600 * time.Millisecond)
		s.startAll()
		return s.pool.CapacityReport(s.now)
	}

	// offerIdle has the pool offer all machines that it can spare, and returns them.
	offerIdle := func() []string {
		s.advance(time.Minute)
		for _, w := range workers {
			s.poll(w.ID, nil)
		}
		s.plan()
		offers := s.pool.CapacityReport(s.now).Offers
		s.pool.SetOffered(offers)
		return offers
	}

	BeforeEach(func() {
		workers = nil
		for i := range 12 {
			w := worker(fmt.Sprintf("w%02d", i))
			w.Labels = []string{fmt.Sprint("rack-", i/4)}
			workers = append(workers, w)
		}
		s = newScene(workers...)
		s.pool.SetShare(12, 0)
	})

	// Guards against a job that never starts as the pool offers all machines with its label
	// and has room enough in sum on others (review/2).
	It("has offered machines with its label taken back, and no more than it needs", func() {
		Expect(offerIdle()).To(ContainElements("m-w00", "m-w01", "m-w02", "m-w03"))
		job := batchJob("j", 2)
		job.Steps[0].Label = "rack-0"
		job.Steps[0].Need.MilliCPU = 20000
		s.add(job)
		back := report().TakeBack
		Expect(back).To(Equal([]string{"m-w00", "m-w01"}))
		for _, m := range back {
			s.pool.WithdrawOffer(m)
		}
		Expect(s.pool.CapacityReport(s.now).Offers).NotTo(ContainElements(back), "offered again before the next plan")
		Expect(s.startAll()).To(HaveLen(2))
	})

	// The same failure for machines that are larger than those that stay.
	It("has an offered machine taken back that alone is large enough", func() {
		workers[1].Capacity.Accelerators = 2
		s.setWorkers(workers...)
		Expect(offerIdle()).To(ContainElement("m-w01"))
		job := batchJob("j", 1)
		job.Steps[0].Need.Accelerators = 1
		s.add(job)
		Expect(report().TakeBack).To(Equal([]string{"m-w01"}))
	})

	// The same failure for the limit of tasks on one worker.
	It("has as many machines taken back as its limit of tasks on one worker asks for", func() {
		offers := offerIdle()
		job := batchJob("j", 8)
		job.Steps[0].MaxPerWorker = 1
		s.add(job)
		s.startAll()
		Expect(report().TakeBack).To(HaveLen(8 - (12 - len(offers))))
	})

	// The same failure for workers that are avoided after failures.
	It("has machines taken back while those that stay are suspended after failures", func() {
		offered := map[string]bool{}
		for _, m := range offerIdle() {
			offered[m] = true
		}
		for _, name := range []string{"a", "b"} {
			s.add(batchJob(name, 16*(12-len(offered))))
			for _, o := range s.startAll() {
				s.poll(o.Worker, nil, endReport(o, scheduler.EndFailed))
			}
			s.pool.CancelJob(name, 300)
		}
		s.add(batchJob("j", 1))
		Expect(report().TakeBack).NotTo(BeEmpty())
	})

	// The same failure for a policy that allows none of the machines that stay.
	It("asks the policy about the offered machines too once it allows none of the others", func() {
		offers := offerIdle()
		job := batchJob("j", 1)
		job.Advice = &scheduler.AdvicePolicy{}
		s.add(job)
		s.pool.ApplyAdvice(only(s.plan().Advice), scheduler.AdviceReply{SentAt: s.now, Answered: true}, s.now)
		s.advance(time.Second)
		request := only(s.plan().Advice)
		Expect(request.Workers).To(HaveLen(12))
		granted := offers[0][len("m-"):]
		s.pool.ApplyAdvice(request, scheduler.AdviceReply{SentAt: s.now, Answered: true, Granted: map[string]string{granted: "ticket"}, ValidFor: time.Minute}, s.now)
		Expect(report().TakeBack).To(Equal(offers[:1]))
	})

	// Guards against a job that waits for a machine that another pool has taken.
	It("asks for a machine of its kind once the offer of the last one is taken", func() {
		for _, m := range offerIdle() {
			s.pool.OfferTaken(m)
		}
		job := batchJob("j", 2)
		job.Steps[0].Label = "rack-0"
		s.add(job)
		r := report()
		Expect(r.TakeBack).To(BeEmpty())
		Expect(r.Kinds).To(Equal([]scheduler.KindNeed{{Label: "rack-0", Capacity: job.Steps[0].Need, Count: 1}}))
		Expect(r.Need).To(BeZero(), "a machine of any other kind would not help")
	})

	// Each stage asked for a whole machine: with many small jobs that wait, the pool asked
	// for as many machines as there were jobs.
	It("asks for no more machines than all waiting tasks fill together", func() {
		s = newScene(workers[:4]...)
		s.pool.SetShare(4, 0)
		full := longRunningJob("full", 4)
		full.Steps[0].Need.MilliCPU = 20000
		s.add(full)
		Expect(s.startAll()).To(HaveLen(4))
		for _, name := range []string{"a", "b"} {
			half := batchJob(name, 1)
			half.Steps[0].Need.MilliCPU = 16000
			s.add(half)
		}
		Expect(report().Need).To(Equal(1))
	})
})
