package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a machine controller whose store leaves one write without a response", func() {
	var (
		s *ownershipScene
		c *machineController
	)
	wave := func(number int64, machine string) upkeep.Wave {
		return upkeep.Wave{Number: number, Machines: []string{machine}, MaxDown: 1, Within: time.Minute}
	}

	BeforeEach(func() {
		s, c = newControllerScene()
		s.manager.timing.StoreTimeout = 50 * time.Millisecond
		s.machines.listed = []upkeep.Machine{{ID: "m-a", Pool: "spare", State: upkeep.Up}, {ID: "m-b", Pool: "spare", State: upkeep.Up}}
		c.requests.Update(func(v requestView) (requestView, bool) { v.known = true; return v, true })
		c.reports.Update(func(v reportView) (reportView, bool) { v.known = true; return v, true })
	})

	// The write took the time of the whole step, so that no wave went on for 3 s after
	// each lost response.
	It("takes machines down in the same step, after the first write of the machines' numbers", func() {
		s.manager.fleet.Update(func(v fleetView) (fleetView, bool) {
			v.ownMachines, v.known = nil, true
			return v, true
		})
		s.store.muteNext = poolstore.OwnMachinesKey
		c.step([]upkeep.Wave{wave(3, "m-a")})
		Expect(s.machines.down).To(ConsistOf("m-a"))
	})

	// The same between waves: one that waits for a response held up all later ones.
	It("takes machines of other waves down in the same step", func() {
		key, _, err := s.manager.Operators.WaveStatus(3, false)
		Expect(err).NotTo(HaveOccurred())
		s.store.muteNext = key
		c.step([]upkeep.Wave{wave(3, "m-a"), wave(4, "m-b")})
		Expect(s.machines.down).To(ConsistOf("m-b"))
		c.step([]upkeep.Wave{wave(3, "m-a"), wave(4, "m-b")})
		Expect(s.machines.down).To(ConsistOf("m-a", "m-b"))
	})

	// A wave waits for the moves of machines, which come first in a step.
	It("takes machines down in the same step, after a write of recalls", func() {
		s.store.muteNext = poolstore.RecallKey(sceneService)
		c.step([]upkeep.Wave{wave(3, "m-a")})
		Expect(s.machines.down).To(ConsistOf("m-a"))
	})

	// A delayed copy of the same write must not count as a later one.
	It("writes the status again in the next step, on the key's revision", func() {
		key, _, err := s.manager.Operators.WaveStatus(3, false)
		Expect(err).NotTo(HaveOccurred())
		s.store.loseNextResponse(key)
		c.step([]upkeep.Wave{wave(3, "m-a")})
		c.step([]upkeep.Wave{wave(3, "m-a")})
		Expect(s.store.has(key)).To(BeTrue())
		s.store.mu.Lock()
		delayed := append([]store.Txn(nil), s.store.delayed...)
		met := s.store.conditionsMet(&delayed[0])
		s.store.mu.Unlock()
		Expect(met).To(BeFalse())
	})
})
