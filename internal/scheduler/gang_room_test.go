package scheduler_test

import (
	"fmt"
	"time"

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

	// Guards against a gang that never starts as smaller tasks take each part of its room as
	// it becomes free, in a pool with most of its capacity free.
	It("starts although smaller tasks keep coming", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		running := map[string][]scheduler.StartOrder{}
		began := map[scheduler.TaskID]time.Time{}
		gang := 0
		start := func() {
			for _, o := range s.startAll() {
				if o.Task.Job == "gang" {
					gang++
				}
				running[o.Worker], began[o.Task] = append(running[o.Worker], o), s.now
			}
		}
		for i := range 40 {
			small := batchJob(fmt.Sprint("small-", i), 4)
			small.Steps[0].Need.MilliCPU, small.Steps[0].MaxPerWorker = 9000, 1
			s.add(small)
			if i == 4 {
				sub := gangJob("gang", 2)
				sub.Steps[0].Need.MilliCPU = 24000
				s.add(sub)
			}
			start()
			s.advance(500 * time.Millisecond)
			for _, id := range []string{"a", "b", "c", "d"} {
				var going []scheduler.StartOrder
				var reports []scheduler.RunReport
				var ends []scheduler.EndReport
				for _, o := range running[id] {
					if s.now.Sub(began[o.Task]) > 400*time.Millisecond {
						ends = append(ends, endReport(o, scheduler.EndDone))
					} else {
						going, reports = append(going, o), append(reports, runReport(o))
					}
				}
				running[id] = going
				s.poll(id, reports, ends...)
			}
		}
		Expect(gang).To(Equal(2))
	})
})
