package intake_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/intake"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("a job that the store refuses until the caller's deadline", func() {
	// Guards against a last try that the caller's deadline interrupts: its outcome is
	// unknown, so the caller gets a Timeout and cannot submit the job again.
	It("is reported as not accepted, with a known outcome", func() {
		in := intake.New(&slowStore{responseTime: 40 * time.Millisecond}, poolconfig.NewInForce(), noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		for n := range 8 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(300+8*n)*time.Millisecond)
			err := in.Submit(ctx, scheduler.Submission{ID: "j", Service: "tags", Steps: []scheduler.Step{{Count: 1}}})
			cancel()
			Expect(problem.KindOf(err)).To(Equal(problem.Unavailable), "after %d tries: %v", n, err)
		}
	})

	// Seen beside other load: the wait before a try ended so late that the caller's deadline
	// interrupted that try.
	It("is reported so too when the timer of the last wait fires late", func() {
		late := lateClock{clockwork.NewRealClock(), 540 * time.Millisecond}
		in := intake.New(&slowStore{responseTime: 80 * time.Millisecond}, poolconfig.NewInForce(), noOwners{}, late, zap.NewNop())
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		err := in.Submit(ctx, scheduler.Submission{ID: "j", Service: "tags", Steps: []scheduler.Step{{Count: 1}}})
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable), "%v", err)
	})
})
