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

var _ = Describe("a job that the store refuses at once, many times", func() {
	// The bound of a try doubles with each one, and overflows after 34 refusals: the next
	// tries end before they are sent, and count as tries of unknown outcome.
	It("is reported as not accepted", func() {
		in := intake.New(&slowStore{responseTime: time.Millisecond}, poolconfig.NewInForce(), noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		err := in.Submit(ctx, scheduler.Submission{ID: "j", Service: "tags", Steps: []scheduler.Step{{Count: 1}}})
		Expect(problem.KindOf(err)).To(Equal(problem.Unavailable), "%v", err)
	})
})
