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
})
