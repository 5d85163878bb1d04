package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("the poller of a worker that is listed again", func() {
	// Review/11 and review/14: the poller of an idle or lost worker waited for up to ten seconds,
	// so that its next incarnation was neither fenced nor used for as long.
	DescribeTable("polls it at once", func(leave func(s *ownershipScene, o *poolOwnership), incarnation int64) {
		s := newOwnershipScene()
		workers := &fakeWorkers{incarnation: 1}
		s.manager.Workers = workers
		o := s.load()
		list := func(incarnations ...int64) {
			all := map[string]scheduler.WorkerInfo{}
			for _, i := range incarnations {
				all["workers/a"] = scheduler.WorkerInfo{ID: "a", Service: sceneService, Address: "a:1", Machine: "m-a", Incarnation: i}
			}
			o.applyWorkers(all, requestView{}, fleetView{})
		}
		list(1)
		Eventually(workers.polls.Load).Should(BeEquivalentTo(1))
		Expect(s.clock.BlockUntilContext(o.ctx, 1)).To(Succeed(), "it is idle")
		s.clock.Advance(time.Second)
		if leave != nil {
			list()
			leave(s, o)
		}
		workers.incarnation = incarnation
		list(incarnation)
		Eventually(workers.polls.Load).Should(BeEquivalentTo(2), "the scene's clock does not advance")
		o.cancel()
		o.goroutines.Wait()
	},
		Entry("as a later incarnation, with no time between", nil, int64(2)),
		Entry("as a later incarnation, after its machine was seen without it", func(s *ownershipScene, o *poolOwnership) {
			s.silence(o, "a")
			o.pool.SetMachineWorkers(map[string]string{"m-a": ""}, s.clock.Now(), s.clock.Now())
		}, int64(2)),
		Entry("as the same incarnation, which did not answer last", func(s *ownershipScene, o *poolOwnership) {
			s.silence(o, "a")
		}, int64(1)),
		Entry("after the pool has removed it", func(s *ownershipScene, o *poolOwnership) {
			s.silence(o, "a")
			o.pool.Plan(s.clock.Now(), s.clock.Now())
			Expect(o.pool.HasWorker("a")).To(BeFalse())
		}, int64(2)),
	)
})
