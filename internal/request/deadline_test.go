package request

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the deadline of a request", func() {
	const left = 2 * time.Second
	var clock *clockwork.FakeClock
	var ctx context.Context
	var release context.CancelFunc
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		ctx, release = withDeadline(context.Background(), clock, clock.Now().Add(left))
		DeferCleanup(func() { release() })
	})
	cause := func() error { return context.Cause(ctx) }

	It("ends its context when it has passed", func() {
		clock.Advance(left - time.Millisecond)
		Consistently(cause, "20ms").Should(Succeed())
		clock.Advance(time.Millisecond)
		Eventually(cause).Should(MatchError(context.DeadlineExceeded))
	})

	// After a pause of the process, the timers fired before the answers that had arrived were
	// read: 504, outcome unknown, for requests that the upstream had completed in time.
	It("leaves time to read an answer that arrived while the process was paused, once", func() {
		clock.Advance(left + time.Second)
		waiting, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(clock.BlockUntilContext(waiting, 1)).To(Succeed(), "no extension")
		Expect(cause()).To(Succeed())
		clock.Advance(deadlineExtension + time.Second)
		Eventually(cause).Should(MatchError(context.DeadlineExceeded))
	})

	It("has ended before it began when it lies in the past, and ends with its release", func() {
		past, _ := withDeadline(context.Background(), clock, clock.Now())
		Expect(context.Cause(past)).To(MatchError(context.DeadlineExceeded))
		release()
		Expect(cause()).To(MatchError(context.Canceled))
	})
})
