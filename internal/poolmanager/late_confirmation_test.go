package poolmanager

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("an owner whose confirmation of an empty machine has no response", func() {
	It("starts nothing on the machine's next worker, as the confirmation may still be applied", func() {
		s := newOwnershipScene()
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		o.pool.RosterSaved(o.pool.Roster(s.clock.Now()))
		key := poolstore.EmptyRequestKey("m-a")
		by := s.clock.Now().Add(time.Hour)
		request := upkeep.EmptyRequest{Pool: sceneService, Worker: "a", By: by}
		value, err := poolstore.EncodeEmptyRequest(&request)
		Expect(err).NotTo(HaveOccurred())
		revision := s.store.put(key, value, 0)
		view := newRequestView()
		view.known = true
		view.empty["m-a"] = emptyRequest{EmptyRequest: request, revision: revision}
		o.requests.Update(func(requestView) (requestView, bool) { return view, true })
		o.pool.SetMachinesToEmpty(view.machines(sceneService), view.emptied())
		s.clock.Advance(3 * time.Second)
		s.poll(o, "a")
		o.pool.Plan(s.clock.Now(), s.clock.Now())
		Expect(o.pool.MachineEmpty("m-a")).To(BeTrue())
		s.store.loseNextResponse(key)
		o.confirmEmptied(map[string]int64{})

		// The worker starts again under another name, and work arrives.
		now := s.clock.Now()
		next := scheduler.WorkerInfo{
			ID: "a2", Service: sceneService, Address: "a2:1", Machine: "m-a", Incarnation: 2,
			Capacity: scheduler.Resources{MilliCPU: 32000, MemoryMB: 131072},
		}
		o.pool.SetWorkers([]scheduler.WorkerInfo{next}, now)
		s.millis++
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a2", SentAt: now, ReceivedAt: now, Incarnation: 2, Clock: s.millis})
		o.pool.RosterSaved(o.pool.Roster(now))
		for i := range 40 {
			item := s.accept(fmt.Sprintf("job-%02d", i))
			o.addJob(fmt.Sprintf("job-%02d", i), item, store.Item{}, now)
		}
		plan := o.pool.Plan(now, now)
		s.store.applyDelayed()
		item, err := s.store.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		stored, err := poolstore.DecodeEmptyRequest(key, item.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Emptied && len(plan.Starts) > 0).To(BeFalse(), "%d tasks were started on a machine that may be taken down", len(plan.Starts))
	})
})
