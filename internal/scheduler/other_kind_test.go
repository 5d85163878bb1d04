package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review, trial "kinds" (ROUTE): a worker started again as another kind while the platform's list
// was late, and got tasks by the labels of its former incarnation.
var _ = Describe("a worker that has answered as a later incarnation than the one that is listed", func() {
	var s *scene
	var listed scheduler.WorkerInfo
	BeforeEach(func() {
		listed = worker("a")
		listed.Labels = []string{"kind-a"}
		s = newScene(listed)
		s.advance(time.Second)
		s.pollAs("a", 2)
	})

	It("gets no task that needs a label of the listed one, and gets it where the later one has it", func() {
		job := batchJob("j", 1)
		job.Steps[0].Label = "kind-a"
		s.add(job)
		Expect(s.startAll()).To(BeEmpty())
		present := worker("a")
		present.Incarnation, present.Labels = 2, []string{"kind-b"}
		s.setWorkers(present)
		Expect(s.startAll()).To(BeEmpty())
		present.Labels = listed.Labels
		s.setWorkers(present)
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("gets no more than the capacity of the later one", func() {
		s.add(batchJob("j", 16))
		Expect(s.startAll()).To(BeEmpty())
		present := worker("a")
		present.Incarnation, present.Capacity = 2, scheduler.Resources{MilliCPU: 4000, MemoryMB: 8192}
		s.setWorkers(present)
		Expect(s.startAll()).To(HaveLen(2))
	})

	It("is used while the list does not tell its incarnation", func() {
		unknown := worker("a")
		unknown.Incarnation = 0
		s.setWorkers(unknown)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(HaveLen(1))
	})
})
