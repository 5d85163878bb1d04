package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/request"
)

var _ = Describe("ejection", func() {
	It("removes a failing upstream, and at most half of all upstreams", func() {
		f := newTestFleet(1, 6)
		f.advance(time.Second)
		p := f.nodes[0].placer
		used := make(map[string]int)
		serve := func(failing func(id string) bool, n int) {
			clear(used)
			for range n {
				t := &admission.Ticket{Team: "herders"}
				start, verdict := p.Acquire(testService, t, f.now)
				Expect(verdict).To(Equal(admission.Started))
				used[start.Instance.ID]++
				p.Release(testService, dispatch.Completion{Upstream: start.Instance.ID, Team: t.Team, Charge: start.Charge,
					Feedback: request.Feedback{Sent: true, Answered: true, Failed: failing(start.Instance.ID), Took: time.Millisecond}}, f.now)
			}
		}
		first := func(id string) bool { return id == "tags-1" }
		serve(first, 60)
		serve(first, 60)
		Expect(used).NotTo(HaveKey("tags-1"))
		serve(func(string) bool { return true }, 60)
		serve(func(string) bool { return true }, 60)
		Expect(used).To(HaveLen(2))
	})
})
