package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a poller that receives a reply of another incarnation of its worker", func() {
	// The worker was polled again without a pause, for the rest of the ownership.
	It("waits before the next poll", func() {
		s := newOwnershipScene()
		workers := &fakeWorkers{}
		s.manager.Workers = workers
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a") // a later incarnation than that of all further replies
		s.silence(o, "a")
		p := &poller{poolOwnership: o, worker: "a", kick: newSignal()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.run()
		}()
		Eventually(workers.polls.Load).Should(BeEquivalentTo(1))
		Consistently(workers.polls.Load, 100*time.Millisecond).Should(BeEquivalentTo(1), "the scene's clock does not advance")
		o.cancel()
		Eventually(done).Should(BeClosed())
	})
})

var _ = Describe("a poller of a worker that does not reply", func() {
	// Incident 31: each poll was cut off at the same timeout, so that replies which always
	// took longer were never received.
	It("waits longer for the next reply, and does not ask the worker to wait for an end", func() {
		s := newOwnershipScene()
		s.manager.timing.PollWait = time.Second
		s.manager.timing.OrderTimeout = sceneTiming.OrderTimeout
		workers := &fakeSilentWorkers{clock: s.clock, requests: make(chan scheduler.PollRequest), deadlines: make(chan time.Time, 1)}
		s.manager.Workers = workers
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a", scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100})
		p := &poller{poolOwnership: o, worker: "a", kick: newSignal()}
		done := make(chan struct{})
		before := time.Now() // of the next poll
		go func() {
			defer close(done)
			p.run()
		}()
		var requests []scheduler.PollRequest
		pause := pollRetry
		for range 3 {
			var deadline time.Time
			var r scheduler.PollRequest
			Eventually(workers.requests, 10*time.Second).Should(Receive(&r))
			Eventually(workers.deadlines, 10*time.Second).Should(Receive(&deadline))
			Expect(deadline).NotTo(BeTemporally("<", before.Add(r.Wait+r.Timeout)))
			requests = append(requests, r)
			Expect(s.clock.BlockUntilContext(o.ctx, 1)).To(Succeed())
			before = time.Now()
			s.clock.Advance(pause)
			pause *= 2
		}
		Expect(requests[0].Timeout).To(Equal(sceneTiming.OrderTimeout))
		Expect(requests[1].Timeout).To(Equal(2 * sceneTiming.OrderTimeout))
		Expect(requests[2].Timeout).To(Equal(sceneTiming.RunLease / 2))
		Expect(requests[1].Wait).To(BeZero())
		Expect(requests[2].Wait).To(BeZero())
		o.cancel()
		Eventually(done, 10*time.Second).Should(BeClosed())
	})
})

var _ = Describe("a poller whose worker holds a reply back while a start has no answer", func() {
	// A lost start waited for the rest of the poll in progress before it was sent again.
	It("ends that poll, and polls again at once without a wait", func() {
		s := newOwnershipScene()
		s.manager.timing.PollWait = time.Second
		s.manager.timing.OrderTimeout = sceneTiming.OrderTimeout
		workers := &fakeSilentWorkers{clock: s.clock, requests: make(chan scheduler.PollRequest), deadlines: make(chan time.Time, 1)}
		s.manager.Workers = workers
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a", scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100})
		p := &poller{poolOwnership: o, worker: "a", kick: newSignal()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.run()
		}()
		Eventually(p.pending.Load, 10*time.Second).ShouldNot(BeNil())
		Expect(p.pending.Load().held).To(BeTrue())
		p.endWait()
		var r scheduler.PollRequest
		Eventually(workers.requests, 10*time.Second).Should(Receive(&r))
		Expect(r.Wait).To(BeZero())
		o.cancel()
		Eventually(done, 10*time.Second).Should(BeClosed())
	})
})
