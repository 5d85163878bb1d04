package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// The bench, late-only (AVAIL): the copy that followed a start without an answer was not sent,
// which was taken for a refusal of both. A stop ended the task that the first one had
// started, past what its step allows to be unavailable.
var _ = DescribeTable("a start that is sent again, of which this says nothing about the first copy",
	func(result scheduler.OrderResult) {
		s := newScene(worker("a"))
		s.add(longRunningJob("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.advance(timing.OrderTimeout)
		s.poll("a", nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, result, 0, s.now)
		Expect(s.plan().Stops).To(BeEmpty())
		s.advance(time.Millisecond)
		s.poll("a", []scheduler.RunReport{runReport(first)})
		plan := s.plan()
		Expect(plan.Stops).To(BeEmpty())
		Expect(plan.Starts).To(BeEmpty())
	},
	Entry("it was not sent", scheduler.NotReached),
	Entry("it was not wanted any more", scheduler.Withdrawn),
	Entry("the worker has restarted", scheduler.Restarted),
	Entry("the worker had no room", scheduler.InsufficientCapacity),
	Entry("it came too late", scheduler.TooLate),
	Entry("the worker has seen a later token of this owner", scheduler.Superseded),
)
