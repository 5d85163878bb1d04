package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review of issue 47: a call to a worker may be answered after the pool has removed the worker.
var _ = Describe("a refusal as fenced by a worker that the pool has removed", func() {
	It("does not end the ownership if the call had an earlier token of this owner", func() {
		s := newOwnershipScene()
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		former, _ := o.pool.NextPoll("a", s.clock.Now())
		s.silence(o, "a")
		s.list(o)
		s.clock.Advance(time.Minute)
		for range 2 {
			o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		Expect(o.pool.HasWorker("a")).To(BeFalse())
		Expect(o.checkFenced("a", former.Token, scheduler.Fenced)).To(Equal(scheduler.Superseded))
		Expect(o.ctx.Err()).NotTo(HaveOccurred())
	})
})
