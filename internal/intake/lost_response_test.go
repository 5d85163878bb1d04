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
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

var _ = Describe("a call whose first write gets no response from the store", func() {
	// Callers waited to their deadline and were told that the outcome was unknown,
	// though the job was stored, or cancelled, at once.
	It("is repeated and answered well within the caller's deadline", func() {
		s := &muteStore{mute: 1, items: map[string]store.Item{}}
		in := intake.New(s, poolconfig.NewInForce(), noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		Expect(in.Submit(ctx, scheduler.Submission{ID: "j", Service: "tags", Steps: []scheduler.Step{{Count: 1}}})).To(Succeed())
		s.mute = 1
		Expect(in.Cancel(ctx, "tags", "j")).To(Succeed())
		state, err := in.State(ctx, "tags", "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(scheduler.Cancelled))
	})
})
