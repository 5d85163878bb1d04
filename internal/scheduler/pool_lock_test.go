package scheduler

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a pool in which a change ended with an unexpected error", func() {
	// Other goroutines went on with a pool whose last change was applied in part, until
	// they noticed that its ownership had ended.
	It("makes no plan and applies nothing any more", func() {
		p := NewPool("tags", 1, Timing{}, WorkerRoster{}, time.Now())
		p.pendingCancels = nil // so that the next change fails
		Expect(func() { p.CancelJob("j", 1) }).To(PanicWith(MatchError(ContainSubstring("nil map"))))
		Expect(func() { p.Plan(time.Now(), time.Now()) }).To(PanicWith(errPoolUnusable))
		Expect(func() { p.ClaimUnsaved(1) }).To(PanicWith(errPoolUnusable))
		Expect(func() { p.HasWorker("a") }).To(PanicWith(errPoolUnusable), "it does not block either")
		Expect(p.Counts()).To(BeZero(), "totals decide nothing")
	})
})
