package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("the capacity that a pool needs", func() {
	var s *scene

	BeforeEach(func() {
		var workers []scheduler.WorkerInfo
		for i := range 4 {
			workers = append(workers, worker(fmt.Sprint("w", i)))
		}
		s = newScene(workers...)
		s.pool.SetShare(8, 0)
		s.advance(time.Minute) // the leases of a former owner have expired
		for _, w := range workers {
			s.poll(w.ID, nil)
		}
		s.plan()
	})

	// submitAtRate submits rate jobs a second. Each keeps half a machine busy for one
	// second.
	submitAtRate := func(rate int, during time.Duration) {
		gap := time.Second / time.Duration(rate)
		for i := range int(during / gap) {
			s.add(batchJob(fmt.Sprintf("%d-%d", rate, i), 8))
			s.startAll()
			s.advance(gap)
		}
	}

	It("follows the arrival rate of a burst at five times the mean after 300 ms, not the number of waiting jobs", func() {
		const keepsBusy, has = 50, 4
		submitAtRate(100, 300*time.Millisecond)
		Expect(s.pool.CapacityReport(s.now).Need).To(BeNumerically(">=", (keepsBusy-has)/2))
	})

	It("covers the jobs that queue up until more machines arrive", func() {
		const keepsBusy, has = 50, 4
		submitAtRate(100, 500*time.Millisecond)
		Expect(s.pool.CapacityReport(s.now).Need).To(BeNumerically(">=", keepsBusy-has+keepsBusy))
	})

	It("is not raised by a few jobs that happen to arrive together", func() {
		s.add(batchJob("a", 8))
		s.add(batchJob("b", 8))
		s.startAll()
		Expect(s.pool.CapacityReport(s.now).Need).To(BeZero())
	})

	It("is computed while a worker reports a run of an unknown job", func() {
		gone := scheduler.RunReport{Task: scheduler.TaskID{Job: "gone"}, Attempt: 1, Percent: 100}
		s.poll("w0", []scheduler.RunReport{gone})
		Expect(func() { s.pool.CapacityReport(s.now) }).NotTo(Panic())
	})

	It("frees the least used machine after a burst, until the load rises again", func() {
		full := batchJob("turn", 64)
		s.add(full)
		byWorker := map[string][]scheduler.StartOrder{}
		for _, o := range s.startAll() {
			byWorker[o.Worker] = append(byWorker[o.Worker], o)
		}
		for id, orders := range byWorker {
			var ends []scheduler.EndReport
			for _, o := range orders[1:] {
				ends = append(ends, endReport(o, scheduler.EndDone))
			}
			s.poll(id, []scheduler.RunReport{runReport(orders[0])}, ends...)
		}
		s.advance(3 * time.Second)
		Expect(s.pool.CapacityReport(s.now).Offers).To(BeEmpty(), "a task runs on each")
		s.add(batchJob("later", 20))
		for _, o := range s.startAll() {
			Expect(o.Worker).NotTo(Equal("w0"))
		}
		s.add(batchJob("more", 40))
		s.startAll()
		s.pool.CapacityReport(s.now)
		Expect(s.startAll()).To(ContainElement(HaveField("Worker", "w0")))
	})

	It("expects little load once no job arrives any more", func() {
		submitAtRate(100, 300*time.Millisecond)
		before := s.pool.CapacityReport(s.now).Load.Expected
		s.advance(2 * time.Second)
		Expect(s.pool.CapacityReport(s.now).Load.Expected).To(BeNumerically("<", before/5))
	})
})
