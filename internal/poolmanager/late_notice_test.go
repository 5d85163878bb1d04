package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a notice of a job that reaches its pool's owner seconds late", func() {
	ctx := context.Background()
	var s *ownershipScene
	var o *poolOwnership
	var n Notice

	// starts makes a plan, and returns the tasks that it starts.
	starts := func() []scheduler.StartOrder {
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
		return o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts
	}

	BeforeEach(func() {
		s = newOwnershipScene()
		o = s.load()
		s.list(o, "a")
		s.clock.Advance(10 * time.Second) // a former owner's orders and leases are over
		item := s.accept("j")
		n = Notice{Service: sceneService, Job: "j", Value: item.Value, Revision: item.Revision, OwnerToken: o.token}
	})

	// Guards against a task that runs again after its job has ended (TWICE).
	It("starts nothing if the job has ended and is removed", func() {
		o.receiveNotice(n)
		first := starts()
		Expect(first).To(HaveLen(1))
		o.pool.StartAnswered(first[0], scheduler.Accepted, s.millis, s.clock.Now())
		s.millis++
		now := s.clock.Now()
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Ends: []scheduler.EndReport{{Number: 1, Task: first[0].Task, Attempt: 1, Kind: scheduler.EndDone}}})
		Expect(o.saveOnce(ctx)).To(BeTrue())
		Expect(s.completed("j")).To(BeTrue())
		Expect(starts()).To(BeEmpty())
		s.clock.Advance(12 * time.Second)
		o.receiveNotice(n)
		Expect(starts()).To(BeEmpty())
	})

	// Guards against a start of a job that a caller has cancelled meanwhile (UNASKED).
	It("starts nothing if the job was cancelled before", func() {
		o.receiveNotice(Notice{Service: sceneService, Job: "j", Revision: n.Revision + 1, Cancelled: true})
		s.clock.Advance(12 * time.Second)
		o.receiveNotice(n)
		Expect(starts()).To(BeEmpty())
	})

	// Guards against a start by an owner that the next one does not expect: the job was accepted
	// under another owner.
	It("starts nothing if it was meant for another owner", func() {
		n.OwnerToken--
		o.receiveNotice(n)
		Expect(starts()).To(BeEmpty())
	})
})
