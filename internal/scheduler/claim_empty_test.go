package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a claim that a machine is empty", func() {
	var s *scene

	BeforeEach(func() {
		s = newScene(worker("a"))
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-a": s.now}, nil)
		s.add(batchJob("j", 1))
		s.plan()
	})

	// The claim of a machine that was back from its upkeep would keep it without work.
	It("ends when the request to empty the machine is withdrawn", func() {
		Expect(s.pool.ClaimEmpty("m-a", "a")).To(BeTrue())
		next := worker("a2")
		next.Machine, next.Incarnation = "m-a", 2
		s.setWorkers(next)
		s.pollAs("a2", 2)
		Expect(s.startAll()).To(BeEmpty())
		s.pool.SetMachinesToEmpty(nil, nil)
		next.ID, next.Address, next.Incarnation = "a3", "a3:1", 3
		s.setWorkers(next)
		s.pollAs("a3", 3)
		Expect(only(s.startAll()).Worker).To(Equal("a3"))
	})

	// The owner's view may be older than the pool's: nothing would end such a claim.
	It("is refused once the request is withdrawn, also while the machine is offered", func() {
		s.pool.SetOffered([]string{"m-a"})
		s.pool.SetMachinesToEmpty(nil, nil)
		Expect(s.pool.MachineEmpty("m-a")).To(BeTrue())
		Expect(s.pool.ClaimEmpty("m-a", "a")).To(BeFalse())
	})

	// Guards against a pool that reports a machine as empty which it has left: its former
	// worker is still known and idle, and tasks of another pool run there (review/5).
	It("is refused for a worker that the pool does not have", func() {
		Expect(s.pool.MachineEmpty("m-a")).To(BeTrue())
		Expect(s.pool.ClaimEmpty("m-a", "a2")).To(BeFalse())
	})
})
