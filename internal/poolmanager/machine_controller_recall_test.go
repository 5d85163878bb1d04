package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a machine controller that has nothing else to do", func() {
	var s *ownershipScene

	BeforeEach(func() {
		s, _ = newControllerScene()
		s.manager.timing.MachineListInterval = 250 * time.Millisecond
	})
	stored := func() string {
		s.clock.Advance(time.Second)
		item, err := s.store.Get(context.Background(), poolstore.RecallKey(sceneService))
		if err != nil {
			return "" // not written yet
		}
		return string(item.Value)
	}
	run := func() {
		o := s.own()
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.runMachineController()
		}()
		DeferCleanup(func() {
			o.cancel()
			Eventually(done).Should(BeClosed())
		})
	}

	// The pool went on holding back machines, and gave one up, for a need that was over.
	It("withdraws a recall that the last machine controller left", func() {
		s.store.put(poolstore.RecallKey(sceneService), []byte("2"), 0)
		run()
		Eventually(stored).Should(Equal("0"))
	})

	// Likewise, where the need ended under this machine controller: the change of the
	// need made it idle, so no step withdrew the recall.
	It("withdraws its own recall once no pool needs machines", func() {
		s.machines.listed = []upkeep.Machine{{ID: "m-a", Pool: sceneService, State: upkeep.Up}, {ID: "m-b", Pool: sceneService, State: upkeep.Up}}
		reports := make(chan store.Event)
		s.manager.Store = watchedStore{fakeStore: s.store, prefix: poolstore.ReportPrefix, events: reports}
		s.manager.fleet.Update(func(v fleetView) (fleetView, bool) {
			v.ownMachines = map[string]int{sceneService: 1, "other": 1}
			return v, true
		})
		s.store.put(poolstore.NeedKey("other"), []byte("1"), 0)
		run()
		Eventually(stored).Should(Equal("1"))
		reports <- store.Event{Item: store.Item{Key: poolstore.NeedKey("other"), Value: []byte("0")}}
		Eventually(stored).Should(Equal("0"))
	})
})
