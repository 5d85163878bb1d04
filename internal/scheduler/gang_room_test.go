package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// gangJob returns a job whose one step is a gang of n tasks of half a worker each.
func gangJob(id string, n int) scheduler.Submission {
	sub := batchJob(id, n)
	sub.Steps[0].Gang = true
	sub.Steps[0].Need.MilliCPU = 16000
	return sub
}

var _ = Describe("a gang that waits for room", func() {
	// Each plan that placed a part of the gang used up an attempt number: 721 in a minute.
	// The numbers of the next owner start attemptsPerEpoch higher.
	It("uses no attempt number until it starts", func() {
		s := newScene(worker("a"))
		s.add(gangJob("j", 3))
		for range 5 {
			Expect(s.startAll()).To(BeEmpty())
		}
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		starts := s.startAll()
		Expect(starts).To(HaveLen(3))
		Expect(starts).To(HaveEach(HaveField("Attempt", 1)))
	})
})
