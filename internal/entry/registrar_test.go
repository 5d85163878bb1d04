package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

var _ = ginkgo.Describe("the registration of an entry", func() {
	ctx := context.Background()
	var clock *clockwork.FakeClock
	var store *standin.Store
	var r *registrar
	var reached bool

	ginkgo.BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = standin.NewStore(clock)
		r = &registrar{
			lessor: store, store: store, registration: membership.Registration{ID: "entry-1", PeerAddress: "10.0.0.1:7"},
			ttl: 5 * time.Second, clock: clock, log: zap.NewNop(), reached: func(r bool) { reached = r },
			kept: func(time.Time, bool) {},
		}
	})

	registered := func() bool {
		_, err := store.Get(ctx, membersPrefix+"entry-1")
		return err == nil
	}

	ginkgo.It("holds while it is renewed", func() {
		for range 10 {
			Expect(r.keep(ctx)).To(Succeed())
			Expect(registered()).To(BeTrue())
			clock.Advance(r.ttl / renewalsPerTTL)
		}
	})

	ginkgo.It("goes when the entry is paused past its lease, and comes back with a new one", func() {
		Expect(r.keep(ctx)).To(Succeed())
		lapsed := r.lease
		clock.Advance(2 * r.ttl)
		Eventually(registered).Should(BeFalse())
		Expect(r.keep(ctx)).To(Succeed())
		Expect(registered()).To(BeTrue())
		Expect(r.lease).NotTo(Equal(lapsed))
	})

	ginkgo.It("stays under the new lease when the old one lapses later", func() {
		Expect(r.keep(ctx)).To(Succeed())
		r.lease = "" // as after a restart that could not hand its lease back
		clock.Advance(r.ttl / 2)
		Expect(r.keep(ctx)).To(Succeed())
		clock.Advance(r.ttl * 3 / 4) // the first lease is over, the second is not
		Consistently(registered, "50ms").Should(BeTrue())
	})

	ginkgo.It("is handed back", func() {
		Expect(r.keep(ctx)).To(Succeed())
		r.handBack()
		Expect(registered()).To(BeFalse())
	})

	ginkgo.It("takes two failures in a row for an outage, not one", func() {
		lost := problem.New(problem.Interrupted, problem.StepLease, "", "lost")
		r.judge(lost)
		Expect(reached).To(BeTrue())
		r.judge(lost)
		Expect(reached).To(BeFalse())
		r.judge(nil)
		Expect(reached).To(BeTrue())
	})

	ginkgo.It("is made anew when the answer to the first try was lost", func() {
		r.store = &losingStore{Store: store}
		Expect(r.keep(ctx)).NotTo(Succeed())
		Expect(r.lease).To(Equal(platform.LeaseID("")))
		r.store = store
		Expect(r.keep(ctx)).To(Succeed())
		Expect(registered()).To(BeTrue())
	})
})
