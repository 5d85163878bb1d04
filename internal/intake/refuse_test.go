package intake_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/door"
	"persimmonbay/internal/identity"
	"persimmonbay/internal/intake"
	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

var _ = Describe("a job beyond its team's weight while its pool is far behind", func() {
	var in *intake.Intake
	var s *lateWrites
	var owner *busyOwner
	var ctx context.Context
	var config *poolconfig.InForce
	sub := scheduler.Submission{ID: "j", Team: "huts", Queue: "holds", Service: "tags", Stretch: 1.5, Objective: 600 * time.Millisecond, Steps: []scheduler.Step{{Count: 1}}}
	submit := func() problem.Kind {
		if err := in.Submit(ctx, sub); err != nil {
			return problem.KindOf(err)
		}
		return ""
	}

	BeforeEach(func() {
		s = &lateWrites{muteStore: &muteStore{items: map[string]store.Item{}}}
		config = poolconfig.NewInForce()
		config.Put(&poolconfig.Configuration{Version: 1, Teams: []poolconfig.Team{{Name: "huts", Weight: 1}}, Pools: []poolconfig.Pool{{Service: "tags"}, {Service: "other"}}})
		owner = &busyOwner{report: &door.Report{
			At: time.Now().Add(time.Minute), Cores: 1, Within: 1000,
			Spent: []door.Spent{{Team: "huts", For: time.Second}}, Paces: []door.Pace{{Queue: "holds", Step: time.Second}},
		}}
		in = intake.New(s, config, owner, clockwork.NewRealClock(), zap.NewNop()).For(identity.Caller{Team: "huts"})
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
		DeferCleanup(cancel)
	})

	It("is refused with the time after which there is room, and is not stored", func() {
		err := in.Submit(ctx, sub)
		Expect(problem.KindOf(err)).To(Equal(problem.Overloaded))
		Expect(problem.DelayOf(err)).To(BeNumerically(">", 900*time.Second))
		Expect(s.items).NotTo(HaveKey(poolstore.JobKey("tags", "j")))
		_, err = in.State(ctx, "tags", "j")
		Expect(problem.KindOf(err)).To(Equal(problem.NotFound))
		Expect(in.DoorCounts().Refused).To(BeEquivalentTo(1))
	})

	It("is accepted when it comes again and there is room, once", func() {
		Expect(submit()).To(Equal(problem.Overloaded))
		Expect(submit()).To(Equal(problem.Overloaded))
		owner.report = nil
		Expect(submit()).To(BeEmpty())
		Expect(s.items).To(HaveKey(poolstore.JobKey("tags", "j")))
		state, err := in.State(ctx, "tags", "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(scheduler.Queued))
		written := s.revision
		Expect(submit()).To(BeEmpty())
		Expect(s.revision).To(Equal(written))
	})

	// Guards against a job that runs after its caller was told that it never does: the first
	// copy of the call got no answer, and its write is carried out after the refusal.
	It("is not stored by the late write of an earlier copy", func() {
		report := owner.report
		owner.report, s.keep = nil, true
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(problem.KindOf(in.Submit(short, sub))).To(Equal(problem.Timeout))
		owner.report = report
		Expect(submit()).To(Equal(problem.Overloaded))
		_, err := s.muteStore.Commit(ctx, s.kept[0])
		Expect(problem.KindOf(err)).To(Equal(problem.Conflict))
		Expect(s.items).NotTo(HaveKey(poolstore.JobKey("tags", "j")))
	})

	It("is not refused if it was accepted before", func() {
		report := owner.report
		owner.report = nil
		Expect(submit()).To(BeEmpty())
		owner.report = report
		Expect(submit()).To(BeEmpty())
	})

	It("is accepted if the refusal can't be stored", func() {
		s.keep = true
		Expect(submit()).To(BeEmpty())
		Expect(s.items).To(HaveKey(poolstore.JobKey("tags", "j")))
	})

	It("is accepted without teams in the configuration, with the store's calls of a deployment that has none", func() {
		none := poolconfig.NewInForce()
		none.Put(&poolconfig.Configuration{Version: 1, Pools: []poolconfig.Pool{{Service: "tags"}, {Service: "other"}}})
		in = intake.New(s, none, owner, clockwork.NewRealClock(), zap.NewNop())
		Expect(submit()).To(BeEmpty())
		Expect(s.items).To(HaveLen(2), "the job and its state")
		Expect(s.revision).To(BeEquivalentTo(1))
		Expect(in.DoorCounts().Accepted).To(BeZero())
	})

	It("is logged once a second, however many are refused", func() {
		core, lines := observer.New(zap.InfoLevel)
		clock := clockwork.NewFakeClockAt(time.Now())
		in = intake.New(s, config, owner, clock, zap.New(core)).For(identity.Caller{Team: "huts"})
		for range 50 {
			Expect(submit()).To(Equal(problem.Overloaded))
		}
		Expect(lines.Len()).To(Equal(1))
		clock.Advance(time.Second)
		Expect(submit()).To(Equal(problem.Overloaded))
		Expect(lines.Len()).To(Equal(2))
		Expect(lines.All()[1].ContextMap()).To(HaveKeyWithValue("unlogged", BeEquivalentTo(49)))
	})

	It("is not stored after its cancellation", func() {
		Expect(submit()).To(Equal(problem.Overloaded))
		Expect(problem.KindOf(in.Cancel(ctx, "tags", "j"))).To(Equal(problem.NotFound))
		Expect(submit()).To(Equal(problem.Unavailable))
	})
})
