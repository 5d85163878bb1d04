package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a stop without an answer", func() {
	var s *scene
	var first scheduler.StopOrder

	// start has a worker that answers at once run a task that is then cancelled.
	start := func(t scheduler.Timing) {
		s = newSceneWith(t, worker("a"))
		for range 3 {
			s.poll("a", nil)
		}
		s.add(batchJob("j", 1))
		s.poll("a", []scheduler.RunReport{runReport(only(s.startAll()))})
		s.pool.CancelJob("j", 300)
		first = only(s.plan().Stops)
	}

	It("is repeated as soon as its answer is late by the worker's answer times, then after longer times", func() {
		start(following(timing))
		sent := s.now
		order := first
		for range 4 {
			s.advance(order.Timeout)
			s.pool.StopAnswered(order, scheduler.NoResponse, s.now)
			next := only(s.plan().Stops)
			Expect(next.Timeout).To(BeNumerically(">", order.Timeout))
			order = next
		}
		Expect(s.now.Sub(sent)).To(BeNumerically("<", 900*time.Millisecond), "time for four lost copies")
	})

	It("is not repeated before its time when its connection breaks", func() {
		start(following(timing))
		s.pool.StopAnswered(first, scheduler.NoResponse, s.now)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	It("is repeated after the usual time where timeouts do not follow the answers", func() {
		start(timing)
		Expect(first.Timeout).To(Equal(timing.OrderTimeout))
	})
})
