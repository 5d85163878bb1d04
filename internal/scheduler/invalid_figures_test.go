package scheduler_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// isValid reports whether all figures of a load are finite and not negative.
func isValid(l scheduler.Load) bool {
	for _, f := range []float64{l.Used, l.Waiting, l.Backlog, l.Usable, l.LongRunning, l.Expected} {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return false
		}
	}
	return true
}

var _ = Describe("an entry of the list of workers with an extreme capacity", func() {
	var s *scene
	var valid []scheduler.WorkerInfo

	BeforeEach(func() {
		valid = nil
		for i := range 4 {
			valid = append(valid, worker(fmt.Sprint("w", i)))
		}
		s = newScene(valid...)
		s.advance(time.Minute)
		for _, w := range valid {
			s.poll(w.ID, nil)
		}
		s.plan()
	})

	// An entry to which no worker answers raised the size of the pool's typical machine
	// many times, so that the pool requested no machine and offered some that it needs.
	It("does not change the size of the pool's typical machine while no worker answers for it", func() {
		s.add(batchJob("j", 200))
		before := s.pool.CapacityReport(s.now)
		Expect(before.Load.Usable).To(Equal(4.0))
		huge := worker("odd")
		huge.Capacity = scheduler.Resources{MilliCPU: 100_000_000, MemoryMB: 1 << 30, Accelerators: 1 << 16}
		s.setWorkers(append(valid, huge)...)
		after := s.pool.CapacityReport(s.now)
		Expect(after.Need).To(Equal(before.Need))
		Expect(after.Load.Usable).To(Equal(before.Load.Usable))
		Expect(after.Load.Waiting).To(Equal(before.Load.Waiting))
	})

	// Sums over all workers must not overflow, whatever one worker reports.
	It("leaves the report's figures valid, whatever its capacity is", func() {
		for _, n := range []int{math.MinInt, -1, 0, 1, 1 << 40, math.MaxInt/2 + 1, math.MaxInt} {
			for kind := range 3 {
				extreme := worker("odd")
				*[]*int{&extreme.Capacity.MilliCPU, &extreme.Capacity.MemoryMB, &extreme.Capacity.Accelerators}[kind] = n
				other := extreme
				other.ID, other.Machine = "odd-2", "m-odd-2"
				s.setWorkers(append(valid, extreme, other)...)
				s.poll("odd", nil)
				s.poll("odd-2", nil)
				s.add(batchJob(fmt.Sprint("j", n, kind), 20))
				report := s.pool.CapacityReport(s.now)
				Expect(isValid(report.Load)).To(BeTrue(), "%d %+v", n, report.Load)
				Expect(report.Need).To(BeNumerically("<", 1000), "%d %+v", n, report)
				s.startAll()
			}
		}
	})
})
