package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("what a pool needs", func() {
	var s *scene

	BeforeEach(func() {
		var workers []scheduler.WorkerInfo
		for i := range 4 {
			workers = append(workers, worker(fmt.Sprint("w", i)))
		}
		s = newScene(workers...)
		s.pool.SetShare(8, 0)
		s.pass(time.Minute) // nothing is known of an earlier owner any more
		for _, w := range workers {
			s.poll(w.ID, nil)
		}
		s.plan()
	})

	// offer has jobs of one second on half a machine come at a steady rate.
	offer := func(rate int, during time.Duration) {
		gap := time.Second / time.Duration(rate)
		for i := range int(during / gap) {
			s.add(tasks(fmt.Sprintf("%d-%d", rate, i), 8))
			s.startAll()
			s.pass(gap)
		}
	}

	It("is met by the rate of a turn at five times the mean after 300 ms, not by what waits", func() {
		const keepsBusy, has = 50, 4
		offer(100, 300*time.Millisecond)
		Expect(s.pool.CapacityReport(s.now).Need).To(BeNumerically(">=", (keepsBusy-has)/2))
	})

	It("covers what piles up until the machines come", func() {
		const keepsBusy, has = 50, 4
		offer(100, 500*time.Millisecond)
		Expect(s.pool.CapacityReport(s.now).Need).To(BeNumerically(">=", keepsBusy-has+keepsBusy))
	})

	It("is not raised by a few jobs that come by chance at once", func() {
		s.add(tasks("a", 8))
		s.add(tasks("b", 8))
		s.startAll()
		Expect(s.pool.CapacityReport(s.now).Need).To(BeZero())
	})

	It("counts runs of jobs that nobody knows any more", func() {
		gone := scheduler.RunReport{Task: scheduler.TaskID{Job: "gone"}, Attempt: 1, Percent: 100}
		s.poll("w0", []scheduler.RunReport{gone})
		Expect(func() { s.pool.CapacityReport(s.now) }).NotTo(Panic())
	})

	It("frees the least used machine after a turn, unless work comes back", func() {
		full := tasks("turn", 64)
		s.add(full)
		byWorker := map[string][]scheduler.StartOrder{}
		for _, o := range s.startAll() {
			byWorker[o.Worker] = append(byWorker[o.Worker], o)
		}
		for id, orders := range byWorker {
			var ends []scheduler.EndReport
			for _, o := range orders[1:] {
				ends = append(ends, ended(o, scheduler.EndDone))
			}
			s.poll(id, []scheduler.RunReport{runs(orders[0])}, ends...)
		}
		s.pass(3 * time.Second)
		Expect(s.pool.CapacityReport(s.now).Offers).To(BeEmpty(), "a task runs on each")
		s.add(tasks("later", 20))
		for _, o := range s.startAll() {
			Expect(o.Worker).NotTo(Equal("w0"))
		}
		s.add(tasks("more", 40))
		s.startAll()
		s.pool.CapacityReport(s.now)
		Expect(s.startAll()).To(ContainElement(HaveField("Worker", "w0")))
	})

	It("is given up once nothing comes any more", func() {
		offer(100, 300*time.Millisecond)
		before := s.pool.CapacityReport(s.now).Load.Expected
		s.pass(2 * time.Second)
		Expect(s.pool.CapacityReport(s.now).Load.Expected).To(BeNumerically("<", before/5))
	})
})
