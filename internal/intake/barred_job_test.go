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
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

var _ = Describe("a job that is cancelled while the write that accepts it is still to come", func() {
	var in *intake.Intake
	var s *muteStore
	var ctx context.Context
	sub := scheduler.Submission{ID: "j", Service: "tags", Steps: []scheduler.Step{{Count: 1}}}

	BeforeEach(func() {
		s = &muteStore{items: map[string]store.Item{}}
		in = intake.New(s, poolconfig.NewInForce(), noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
		DeferCleanup(cancel)
	})

	// Guards against a job that runs after its caller was told that there is none (review,
	// cancelled-runs).
	It("is not stored by that write, and goes on being unknown", func() {
		Expect(problem.KindOf(in.Cancel(ctx, "tags", "j"))).To(Equal(problem.NotFound))
		Expect(problem.KindOf(in.Submit(ctx, sub))).To(Equal(problem.Unavailable))
		Expect(s.items).NotTo(HaveKey(poolstore.JobKey("tags", "j")))
		_, err := in.State(ctx, "tags", "j")
		Expect(problem.KindOf(err)).To(Equal(problem.NotFound))
		Expect(problem.KindOf(in.Cancel(ctx, "tags", "j"))).To(Equal(problem.NotFound))
	})

	// The caller would be told of no outcome, although the job is not stored.
	It("is answered although the store's first answer is lost", func() {
		s.mute = 1
		Expect(problem.KindOf(in.Cancel(ctx, "tags", "j"))).To(Equal(problem.NotFound))
		Expect(problem.KindOf(in.Submit(ctx, sub))).To(Equal(problem.Unavailable))
	})

	// The same failure where the queue has moved to a service that the entry with that write
	// does not know yet: its write was conditional on the absence of the job elsewhere only.
	It("is not stored by that write under the service that the queue has left", func() {
		pools := func(version int64, services ...string) *poolconfig.Configuration {
			c := &poolconfig.Configuration{Version: version}
			for _, service := range services {
				c.Pools = append(c.Pools, poolconfig.Pool{Service: service})
			}
			return c
		}
		older, newer := poolconfig.NewInForce(), poolconfig.NewInForce()
		older.Put(pools(1, "tags", "other"))
		newer.Put(pools(2, "tags", "other", "fresh"))
		in = intake.New(s, newer, noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		Expect(problem.KindOf(in.Cancel(ctx, "fresh", "j"))).To(Equal(problem.NotFound))
		in = intake.New(s, older, noOwners{}, clockwork.NewRealClock(), zap.NewNop())
		Expect(problem.KindOf(in.Submit(ctx, sub))).To(Equal(problem.Unavailable))
		Expect(s.items).NotTo(HaveKey(poolstore.JobKey("tags", "j")))
	})
})
