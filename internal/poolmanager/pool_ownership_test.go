package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the guard of an ownership", func() {
	// A pool was kept after its lease had ended: the guard looked at the lease only
	// once, when it was uncertain or replaced already.
	DescribeTable("ends the ownership when the lease is dropped", func(before func(*session)) {
		s := newOwnershipScene()
		o := s.own()
		defer o.cancel()
		before(s.manager.session)
		go o.guard()
		Consistently(o.ctx.Done(), 50*time.Millisecond).ShouldNot(BeClosed(), "the store may still have the lease")
		s.manager.session.drop(sceneLease)
		Eventually(o.ctx.Done()).Should(BeClosed())
	},
		Entry("which was certainly valid before", func(*session) {}),
		Entry("which may have ended before", func(s *session) { s.endsAt = 0 }),
	)

	DescribeTable("ends the ownership at once when the lease was dropped before", func(replace func(*session)) {
		s := newOwnershipScene()
		o := s.own()
		defer o.cancel()
		s.manager.session.drop(sceneLease)
		replace(s.manager.session)
		go o.guard()
		Eventually(o.ctx.Done()).Should(BeClosed())
	},
		Entry("and none was granted since", func(*session) {}),
		Entry("and replaced by another", func(s *session) { s.grant(context.Background()) }),
	)
})
