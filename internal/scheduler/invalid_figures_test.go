package scheduler_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// finite reports whether a load can be counted with.
func finite(l scheduler.Load) bool {
	for _, f := range []float64{l.Used, l.Waiting, l.Backlog, l.Usable, l.LongRunning, l.Expected} {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return false
		}
	}
	return true
}

var _ = Describe("an odd entry of the list of workers", func() {
	var s *scene
	var real []scheduler.WorkerInfo

	BeforeEach(func() {
		real = nil
		for i := range 4 {
			real = append(real, worker(fmt.Sprint("w", i)))
		}
		s = newScene(real...)
		s.pass(time.Minute)
		for _, w := range real {
			s.poll(w.ID, nil)
		}
		s.plan()
	})

	// An entry that answers to nobody made a usual machine of the pool many times
	// larger, so that the pool asked for none and offered those that it needs.
	It("that never answers does not change what a usual machine of the pool is", func() {
		s.add(tasks("j", 200))
		before := s.pool.CapacityReport(s.now)
		Expect(before.Load.Usable).To(Equal(4.0))
		huge := worker("odd")
		huge.Capacity = scheduler.Resources{MilliCPU: 100_000_000, MemoryMB: 1 << 30, Accelerators: 1 << 16}
		s.setWorkers(append(real, huge)...)
		after := s.pool.CapacityReport(s.now)
		Expect(after.Need).To(Equal(before.Need))
		Expect(after.Load.Usable).To(Equal(before.Load.Usable))
		Expect(after.Load.Waiting).To(Equal(before.Load.Waiting))
	})

	// Sums over all workers must hold what one says.
	It("leaves figures that can be counted with, whatever it offers", func() {
		for _, n := range []int{math.MinInt, -1, 0, 1, 1 << 40, math.MaxInt/2 + 1, math.MaxInt} {
			for kind := range 3 {
				odd := worker("odd")
				*[]*int{&odd.Capacity.MilliCPU, &odd.Capacity.MemoryMB, &odd.Capacity.Accelerators}[kind] = n
				other := odd
				other.ID, other.Machine = "odd-2", "m-odd-2"
				s.setWorkers(append(real, odd, other)...)
				s.poll("odd", nil)
				s.poll("odd-2", nil)
				s.add(tasks(fmt.Sprint("j", n, kind), 20))
				b := s.pool.CapacityReport(s.now)
				Expect(finite(b.Load)).To(BeTrue(), "%d %+v", n, b.Load)
				Expect(b.Need).To(BeNumerically("<", 1000), "%d %+v", n, b)
				s.startAll()
			}
		}
	})
})
