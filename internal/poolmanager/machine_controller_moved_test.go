package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/upkeep"
)

var _ = Describe("a machine controller with a wave over a machine that was moved", func() {
	var s *ownershipScene
	var c *machineController
	key := poolstore.EmptyRequestKey("m-a")
	wave := upkeep.Wave{Number: 3, Machines: []string{"m-a"}, MaxDown: 1, Within: time.Minute}

	// confirm stores a request that its pool has confirmed, and has the controller read it.
	confirm := func(request upkeep.EmptyRequest) {
		request.By, request.Emptied = s.clock.Now().Add(time.Minute), true
		value, err := poolstore.EncodeEmptyRequest(&request)
		Expect(err).NotTo(HaveOccurred())
		revision := s.store.put(key, value, 0)
		c.requests.Update(func(v requestView) (requestView, bool) {
			v = v.clone()
			v.known = true
			v.empty["m-a"] = emptyRequest{EmptyRequest: request, revision: revision}
			return v, true
		})
	}
	stored := func() upkeep.EmptyRequest {
		item, err := s.store.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		request, err := poolstore.DecodeEmptyRequest(key, item.Value)
		Expect(err).NotTo(HaveOccurred())
		return request
	}
	step := func(m upkeep.Machine) {
		m.ID = "m-a"
		Expect(c.stepWave(context.Background(), wave, map[string]upkeep.Machine{"m-a": m})).To(Succeed())
	}

	BeforeEach(func() { s, c = newControllerScene() })

	// Guards against an upkeep that ends tasks at work on a machine of which its former pool
	// has said that it is empty (review/5).
	It("takes it down only on the word of the pool that it is in", func() {
		confirm(upkeep.EmptyRequest{Pool: "former", Worker: "a"})
		step(upkeep.Machine{Pool: sceneService, State: upkeep.Up, Worker: "b"})
		Expect(s.machines.down).To(BeEmpty())
		request := stored()
		Expect(request.Pool).To(Equal(sceneService))
		Expect(request.Worker).To(Equal("b"))
		Expect(request.Emptied).To(BeFalse())
		confirm(request)
		step(upkeep.Machine{Pool: sceneService, State: upkeep.Up, Worker: "b"})
		Expect(s.machines.down).To(Equal([]string{"m-a"}))
	})

	// The same failure after a move there and back.
	It("takes it down only on a word about the worker that runs there now", func() {
		confirm(upkeep.EmptyRequest{Pool: sceneService, Worker: "a"})
		step(upkeep.Machine{Pool: sceneService, State: upkeep.Up, Worker: "a3"})
		Expect(s.machines.down).To(BeEmpty())
		Expect(stored().Worker).To(Equal("a3"))
	})

	// The pool that it leaves would be asked, and finds its own workers idle.
	It("asks no pool to empty it while it moves", func() {
		step(upkeep.Machine{Pool: sceneService, State: upkeep.Moving, Worker: "a"})
		Expect(s.store.has(key)).To(BeFalse())
	})

	// An order whose answer was lost has to be repeated, although the machine is back.
	It("repeats an order without an answer, whichever worker runs there since", func() {
		confirm(upkeep.EmptyRequest{Pool: sceneService, Worker: "a"})
		p, err := c.loadProgress(context.Background(), wave.Number)
		Expect(err).NotTo(HaveOccurred())
		p.Ordered["m-a"] = "a"
		step(upkeep.Machine{Pool: sceneService, State: upkeep.Up, Worker: "a2"})
		Expect(s.machines.down).To(Equal([]string{"m-a"}))
	})
})

var _ = Describe("an owner that is asked about a machine of another pool", func() {
	It("confirms nothing, though its former worker there is idle", func() {
		s := newOwnershipScene()
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		request := upkeep.EmptyRequest{Pool: "other", Worker: "b", By: s.clock.Now().Add(time.Hour)}
		value, err := poolstore.EncodeEmptyRequest(&request)
		Expect(err).NotTo(HaveOccurred())
		key := poolstore.EmptyRequestKey("m-a")
		view := newRequestView()
		view.known = true
		view.empty["m-a"] = emptyRequest{EmptyRequest: request, revision: s.store.put(key, value, 0)}
		o.requests.Update(func(requestView) (requestView, bool) { return view, true })
		o.pool.SetMachinesToEmpty(view.machines(sceneService), view.emptied())
		o.pool.SetOffered([]string{"m-a"})
		Expect(o.pool.MachineEmpty("m-a")).To(BeTrue())
		o.confirmEmptied(map[string]int64{})
		item, err := s.store.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(item.Value).To(Equal(value))
	})
})
