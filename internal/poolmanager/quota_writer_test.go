package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolconfig"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/quota"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("the writer of a pool's grants", func() {
	const team = "huts"
	var s *ownershipScene
	var o *poolOwnership
	var q *quotaWriter
	configure := func(cores int) {
		version := int64(1)
		if c := s.manager.config.Get(); c != nil {
			version = c.Version + 1
		}
		s.manager.config.Put(&poolconfig.Configuration{
			Version: version, Pools: []poolconfig.Pool{{Service: sceneService}, {Service: "other"}},
			Teams: []poolconfig.Team{{Name: team, Cap: scheduler.Resources{MilliCPU: cores * 1000}}},
		})
	}
	account := func() quota.Account {
		item, err := s.store.Get(context.Background(), poolstore.QuotaKey(team))
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		a, err := poolstore.DecodeQuota(item.Key, item.Value)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return a
	}
	granted := func(service string) int { return account().Pools[service].Granted.MilliCPU / 1000 }
	grantOther := func(cores int) {
		a := account().With("other", quota.Grant{Granted: quota.Amount{MilliCPU: cores * 1000}, Owner: 1})
		value, err := poolstore.EncodeQuota(&a)
		Expect(err).NotTo(HaveOccurred())
		s.store.put(poolstore.QuotaKey(team), value, 0)
	}
	mayRun := func() int { return o.pool.QuotaStatuses()[team].MayRun.MilliCPU / 1000 }
	wait := func() {
		s.clock.Advance(5 * time.Second)
		s.manager.session.endsAt = time.Hour
		q.round()
	}
	// addJob adds a job of 8 tasks of 2 cores, and plans.
	addJob := func(id string) scheduler.Plan {
		o.pool.AddJob(scheduler.Submission{ID: id, Team: team, Service: sceneService, Stretch: 1.6, Steps: []scheduler.Step{{Count: 8, Need: scheduler.Resources{MilliCPU: 2000}, Estimate: time.Second}}}, o.token+1, o.token+1, scheduler.Progress{}, s.clock.Now())
		return o.pool.Plan(s.clock.Now(), s.clock.Now())
	}
	BeforeEach(func() {
		s = newOwnershipScene()
		s.manager.config = poolconfig.NewInForce()
		configure(64)
		o = s.load()
		s.list(o, "a", "b")
		s.poll(o, "a")
		s.poll(o, "b")
		Expect(o.writeRoster(context.Background())).To(Succeed())
		q = newQuotaWriter(o)
		q.configure()
	})

	It("lets nothing start before it has read the account, then takes a slice and more on demand", func() {
		Expect(addJob("j1").Starts).To(BeEmpty())
		q.round()
		Expect(granted(sceneService)).To(BeNumerically(">=", 16))
		Expect(o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(HaveLen(8))
		addJob("j2")
		q.round()
		Expect(granted(sceneService)).To(BeNumerically(">=", 32))
	})

	It("counts on a raise only once it is confirmed, and not on one that is applied late", func() {
		q.round()
		addJob("j1")
		addJob("j2")
		before := mayRun()
		s.store.loseNextResponse(poolstore.QuotaPrefix)
		q.round()
		Expect(mayRun()).To(Equal(before))
		grantOther(64 - granted(sceneService))
		s.store.applyDelayed()
		wait()
		Expect(granted(sceneService) + granted("other")).To(BeNumerically("<=", 64))
		Expect(mayRun()).To(BeNumerically("<=", granted(sceneService)))
	})

	It("starts nothing while a cap that fell is exceeded, and returns what ends", func() {
		q.round()
		addJob("j1")
		q.round()
		grantOther(20)
		configure(20)
		q.configure()
		wait()
		Expect(mayRun()).To(BeNumerically("<=", 0))
		Expect(granted(sceneService)).To(Equal(16), "what runs")
	})

	It("changes nothing once the pool has a later owner", func() {
		q.round()
		addJob("j1")
		before := account()
		s.store.put(poolstore.OwnerKey(sceneService), []byte("node-2"), 9)
		addJob("j2")
		q.round()
		Expect(account()).To(Equal(before))
		Expect(o.isValid()).To(BeFalse())
	})

	It("reads and writes nothing without caps", func() {
		configure(0)
		q.configure()
		Expect(q.keeper.Active()).To(BeFalse())
		Expect(addJob("j1").Starts).To(HaveLen(8))
	})
})
