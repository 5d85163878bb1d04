package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a throttle that a worker carries out after a newer one, or never", func() {
	const target = 100 * time.Millisecond
	var s *scene
	var serving, bestEffort scheduler.StartOrder

	// report has the worker report the share at which the best-effort task works and the
	// serving task's tail latency in milliseconds, and returns what is ordered on that, 0.7 s
	// after the last report.
	report := func(percent, latency int) []int {
		s.advance(700 * time.Millisecond)
		tail, filler := runReport(serving), runReport(bestEffort)
		tail.LatencyOrUsage, filler.Percent = latency, percent
		s.poll("a", []scheduler.RunReport{tail, filler})
		var percents []int
		for _, o := range s.plan().Throttles {
			Expect(o.Task).To(Equal(bestEffort.Task))
			percents = append(percents, o.Percent)
		}
		return percents
	}

	BeforeEach(func() {
		s = newScene(worker("a"))
		first, second := longRunningJob("s", 1), longRunningJob("f", 1)
		first.Steps[0].Target, second.Steps[0].BestEffort = target, true
		s.add(first)
		s.add(second)
		for _, o := range s.startAll() {
			if o.Task.Job == "s" {
				serving = o
			} else {
				bestEffort = o
			}
		}
		Expect(report(100, 300)).To(Equal([]int{50}))
	})

	// A delayed order slowed a task down for good: the owner took its newer order, back to
	// full speed, as in force.
	It("is replaced by the newer one, if the task is slower than that", func() {
		Expect(report(50, 10)).To(Equal([]int{70}))
		Expect(report(70, 10)).To(Equal([]int{90}))
		Expect(report(90, 10)).To(Equal([]int{100}))
		Expect(report(100, 10)).To(BeEmpty())
		Expect(report(50, 10)).To(Equal([]int{100}))
		Expect(report(100, 10)).To(BeEmpty())
	})

	// A serving task stayed over its latency target (HARM): the owner took the best-effort
	// task as stopped from working, and ordered nothing any more.
	It("is replaced by the newer one, if a task works on that is to be held", func() {
		for _, percent := range []int{50, 25, 12, 6, 3, 1} {
			Expect(report(percent, 300)).To(Equal([]int{percent / 2}))
		}
		Expect(report(0, 300)).To(BeEmpty())
		Expect(report(50, 300)).To(Equal([]int{0}))
	})

	// A report from before an order took effect says nothing of that order.
	It("is not repeated before it can have taken effect", func() {
		s.advance(100 * time.Millisecond)
		tail := runReport(serving)
		tail.LatencyOrUsage = 70
		s.poll("a", []scheduler.RunReport{tail, runReport(bestEffort)})
		s.advance(timing.OrderTimeout)
		Expect(s.plan().Throttles).To(BeEmpty())
	})
})
