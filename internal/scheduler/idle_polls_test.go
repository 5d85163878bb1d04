package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a new owner, while a former one may still send orders", func() {
	// Guards against a task that runs twice under two owners (review/1): an idle worker
	// started again, and both owners started the task there before the platform listed that.
	It("goes on polling idle workers, so that one that starts again learns its fencing token", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		Expect(only(s.startAll()).Worker).To(Equal("a"))
		polled := map[string]int{}
		for began := s.now; s.now.Sub(began) < timing.FormerOwnerLease; {
			plan := s.plan()
			for _, id := range plan.Polls {
				_, due := s.pool.NextPoll(id, s.now)
				Expect(due).To(BeTrue())
				s.poll(id, nil)
				polled[id]++
			}
			Expect(plan.Next.After(s.now) || len(plan.Polls) > 0).To(BeTrue())
			s.advance(timing.FormerOwnerLease / 20)
		}
		Expect(polled).To(HaveKeyWithValue("b", BeNumerically(">=", 8)))
		Expect(polled).NotTo(HaveKey("a"), "a poll of it is in progress anyway")
		s.advance(timing.FormerOwnerLease)
		Expect(s.plan().Polls).To(BeEmpty())
	})
})
