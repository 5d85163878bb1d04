package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a machine controller whose order to take a machine down gets no answer", func() {
	ctx := context.Background()
	wave := upkeep.Wave{Number: 3, Machines: []string{"m-a", "m-b"}, MaxDown: 1, Within: time.Minute}
	var s *ownershipScene
	var c *machineController

	// step lists the worker a on the machine m-a, and b on m-b.
	step := func(a, b upkeep.Machine) {
		for _, m := range []*upkeep.Machine{&a, &b} {
			m.Pool = sceneService
		}
		s.clock.Advance(time.Second)
		Expect(c.stepWave(ctx, wave, map[string]upkeep.Machine{"m-a": a, "m-b": b})).To(Succeed())
	}
	upA, upB := upkeep.Machine{ID: "m-a", Worker: "a"}, upkeep.Machine{ID: "m-b", Worker: "b"}

	BeforeEach(func() {
		s, c = newControllerScene()
		c.requests.Update(func(v requestView) (requestView, bool) {
			v = v.clone()
			v.known = true
			for machine, worker := range map[string]string{"m-a": "a", "m-b": "b"} {
				v.empty[machine] = emptyRequest{EmptyRequest: upkeep.EmptyRequest{Pool: sceneService, Worker: worker, Emptied: true}, revision: s.store.put(poolstore.EmptyRequestKey(machine), nil, 0)}
			}
			return v, true
		})
		s.machines.mute = true
	})

	// Guards against one machine too many that is down (LIMIT, cap), once the first order is
	// carried out late.
	It("takes no other machine down until that order is confirmed and the machine is back", func() {
		for range 12 {
			step(upA, upB)
		}
		Expect(s.machines.down).To(HaveLen(12))
		Expect(s.machines.down).To(HaveEach("m-a"))
		s.machines.mute = false
		step(upA, upB)
		step(upkeep.Machine{ID: "m-a", State: upkeep.InUpkeep}, upB)
		Expect(s.machines.down).To(HaveEach("m-a"))
		step(upkeep.Machine{ID: "m-a", Worker: "a2"}, upB)
		step(upkeep.Machine{ID: "m-a", Worker: "a2"}, upB)
		Expect(s.machines.down).To(ContainElement("m-b"))
	})

	// Guards against tasks that the late upkeep ends: the pool may give work only to a machine
	// that is not to be emptied any more.
	It("keeps the request to empty the machine, whatever worker is listed there meanwhile", func() {
		step(upA, upB)
		step(upkeep.Machine{ID: "m-a", Worker: "a2"}, upB)
		step(upkeep.Machine{ID: "m-a", State: upkeep.Down}, upB)
		step(upkeep.Machine{ID: "m-a", Worker: "a3"}, upB)
		item, err := s.store.Get(ctx, poolstore.EmptyRequestKey("m-a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Value).To(BeEmpty(), "it is as it was")
		Expect(s.machines.down).To(Equal([]string{"m-a", "m-a", "m-a", "m-a"}))
	})
})
