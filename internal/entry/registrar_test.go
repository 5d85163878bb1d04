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
	var reachable bool

	ginkgo.BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = standin.NewStore(clock)
		r = &registrar{
			lessor: store, store: store, registration: membership.Registration{ID: "entry-1", PeerAddress: "10.0.0.1:7"},
			ttl: 5 * time.Second, clock: clock, log: zap.NewNop(), setReachable: func(r bool) { reachable = r },
			confirmed: func(time.Time, bool) {},
		}
	})

	registered := func() bool {
		_, err := store.Get(ctx, membersPrefix+"entry-1")
		return err == nil
	}

	ginkgo.It("lasts while it is renewed", func() {
		for range 10 {
			Expect(r.renewOrRegister(ctx)).To(Succeed())
			Expect(registered()).To(BeTrue())
			clock.Advance(r.ttl / renewalsPerTTL)
		}
	})

	ginkgo.It("lapses when the entry is paused beyond its lease, and is made again with a new one", func() {
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		lapsed := r.lease
		clock.Advance(2 * r.ttl)
		Eventually(registered).Should(BeFalse())
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		Expect(registered()).To(BeTrue())
		Expect(r.lease).NotTo(Equal(lapsed))
	})

	ginkgo.It("lasts under the new lease when the old one lapses later", func() {
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		r.lease = "" // as after a restart without revoking the lease
		clock.Advance(r.ttl / 2)
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		clock.Advance(r.ttl * 3 / 4) // the first lease has lapsed, the second has not
		Consistently(registered, "50ms").Should(BeTrue())
	})

	ginkgo.It("ends when its lease is revoked", func() {
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		r.revoke()
		Expect(registered()).To(BeFalse())
	})

	ginkgo.It("counts two failures in a row as an outage of the store, but not one", func() {
		lost := problem.New(problem.Interrupted, problem.StepLease, "", "lost")
		r.recordResult(lost)
		Expect(reachable).To(BeTrue())
		r.recordResult(lost)
		Expect(reachable).To(BeFalse())
		r.recordResult(nil)
		Expect(reachable).To(BeTrue())
	})

	ginkgo.It("is made again when the answer to the first attempt was lost", func() {
		r.store = &losingStore{Store: store}
		Expect(r.renewOrRegister(ctx)).NotTo(Succeed())
		Expect(r.lease).To(Equal(platform.LeaseID("")))
		r.store = store
		Expect(r.renewOrRegister(ctx)).To(Succeed())
		Expect(registered()).To(BeTrue())
	})
})
