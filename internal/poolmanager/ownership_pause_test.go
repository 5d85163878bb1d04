package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/upkeep"
)

// A process that had been paused for some seconds acted on a permission that had run out
// meanwhile.
var _ = DescribeTable("an owner that is paused between its check of the lease and the sending of an order sends none once the lease may have ended",
	func(pause time.Duration) {
		const leaseLeft = 2 * time.Second
		s, _ := newControllerScene()
		now := time.Minute
		session := s.manager.session
		session.sinceBoot = func() time.Duration { return now }
		clients := &pausedClients{pause: func() { now += pause }}
		s.manager.Workers, s.manager.Machines = clients, clients
		o := s.load()
		c := newMachineController(o)
		task := scheduler.TaskID{Job: "j"}
		start := s.planStart(o, "j")
		for _, send := range []func(){
			func() { o.startTask(start) },
			func() { o.stopTask(scheduler.StopOrder{Worker: "a", Task: task, Attempt: 1}) },
			func() { o.throttleTask(scheduler.ThrottleOrder{Worker: "a", Task: task, Attempt: 1}) },
			func() {
				c.recordMove(context.Background(), lending.Move{Machine: "m-a"}, c.move(context.Background(), lending.Move{Machine: "m-a", Target: sceneService}))
			},
			func() {
				p := upkeep.NewProgress()
				c.takeDownOne(context.Background(), 3, &p, "m-a")
				Expect(p.Confirmed["m-a"]).To(Equal(pause < leaseLeft))
			},
		} {
			clients.sent = 0
			session.endsAt = now + leaseLeft
			Expect(o.isValid()).To(BeTrue())
			send()
			Expect(clients.sent == 1).To(Equal(pause < leaseLeft))
		}
		Expect(c.inTransit).To(HaveLen(map[bool]int{true: 1}[pause < leaseLeft]))
	},
	Entry("1 s", time.Second), Entry("3 s", 3*time.Second), Entry("8 s", 8*time.Second), Entry("20 s", 20*time.Second),
)
