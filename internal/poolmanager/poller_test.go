package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
