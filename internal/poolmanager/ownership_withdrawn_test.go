package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

var _ = Describe("an owner that is delayed between its plan and the sending of a start", func() {
	var (
		s       *ownershipScene
		o       *poolOwnership
		clients *pausedClients
		start   scheduler.StartOrder
	)

	BeforeEach(func() {
		s = newOwnershipScene()
		o = s.load()
		clients = &pausedClients{pause: func() {}}
		s.manager.Workers = clients
		start = s.planStart(o, "j")
	})

	// A task was started 4 s after its job's cancellation had been acknowledged
	// (UNASKED): only the lease was checked when a delayed start was sent.
	It("sends no start of a job that was cancelled meanwhile, and does not take the worker for unreachable", func() {
		clients.pause = func() { o.pool.CancelJob("j", s.store.revision) }
		o.startTask(start)
		Expect(clients.sent).To(BeZero())
		o.addJob("k", s.accept("k"), store.Item{}, s.clock.Now())
		Expect(o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(HaveLen(1), "the worker is used at once")
	})

	It("sends a start whose job goes on", func() {
		o.startTask(start)
		Expect(clients.sent).To(Equal(1))
	})
})

// planStart adds a job to the pool, with the worker a, and returns the order that starts
// its task.
func (s *ownershipScene) planStart(o *poolOwnership, job string) scheduler.StartOrder {
	s.list(o, "a")
	s.poll(o, "a")
	ExpectWithOffset(1, o.writeRoster(context.Background())).To(Succeed())
	s.clock.Advance(sceneTiming.RunLease + 400*time.Millisecond)
	s.poll(o, "a")
	o.addJob(job, s.accept(job), store.Item{}, s.clock.Now())
	starts := o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts
	ExpectWithOffset(1, starts).To(HaveLen(1))
	return starts[0]
}
