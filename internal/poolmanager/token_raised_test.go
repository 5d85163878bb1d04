package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Issue 47: an owner raises its fencing token at a worker that left a call unanswered. The
// refusal of an earlier call, overtaken by a later one, must not end its ownership.
var _ = Describe("a refusal as fenced", func() {
	var s *ownershipScene
	var o *poolOwnership
	var former, present scheduler.PollRequest
	BeforeEach(func() {
		s = newOwnershipScene()
		o = s.load()
		s.list(o, "a")
		s.poll(o, "a")
		former, _ = o.pool.NextPoll("a", s.clock.Now())
		s.silence(o, "a")
		present, _ = o.pool.NextPoll("a", s.clock.Now())
	})

	It("of a call with an earlier token of the same owner does not end the ownership", func() {
		Expect(o.checkFenced("a", former.Token, scheduler.Fenced)).To(Equal(scheduler.Superseded))
		Expect(o.ctx.Err()).NotTo(HaveOccurred())
	})

	It("of such a call to a worker that has left the pool does not end it either", func() {
		o.pool.SetWorkers(nil, s.clock.Now())
		for o.pool.HasWorker("a") {
			s.clock.Advance(time.Second)
			o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		Expect(o.checkFenced("a", former.Token, scheduler.Fenced)).To(Equal(scheduler.Superseded))
		Expect(o.ctx.Err()).NotTo(HaveOccurred())
	})

	It("of a call with its highest token does", func() {
		Expect(o.checkFenced("a", present.Token, scheduler.Fenced)).To(Equal(scheduler.Fenced))
		Expect(o.ctx.Err()).To(HaveOccurred())
	})
})

var _ = Describe("an owner that has few fencing tokens left for calls to a worker", func() {
	// Its calls would have the highest token again and again, so that no worker refused a late
	// one any more.
	It("hands the pool over", func() {
		s := newOwnershipScene()
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		steps := 0
		plan := o.pool.Plan(s.clock.Now(), s.clock.Now())
		for ; !plan.TokensUsedUp; steps += 1000 {
			Expect(steps).To(BeNumerically("<", 1<<scheduler.TokenStepBits))
			for range 1000 {
				o.pool.PollFailed("a", scheduler.Withdrawn, s.clock.Now())
			}
			plan = o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		Expect(o.isLeaving()).To(BeFalse())
		o.execute(&plan)
		Expect(o.isLeaving()).To(BeTrue())
		s.silence(o, "a")
		former, _ := o.pool.NextPoll("a", s.clock.Now())
		s.silence(o, "a")
		present, _ := o.pool.NextPoll("a", s.clock.Now())
		Expect(present.Token).To(BeNumerically(">", former.Token))
	})
})
