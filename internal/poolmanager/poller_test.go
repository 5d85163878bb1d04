package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a looker whose answer is not that of the worker's present life", func() {
	// The worker was asked again without a pause, for the rest of the ownership.
	It("waits before it asks again", func() {
		s := newOwnershipScene()
		workers := &fakeWorkers{}
		s.manager.Workers = workers
		t := s.load()
		s.list(t, "a")
		s.poll(t, "a") // an incarnation that began after the one that answers from now on
		s.silence(t, "a")
		l := &poller{poolOwnership: t, worker: "a", kick: newSignal()}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.run()
		}()
		Eventually(workers.polls.Load).Should(BeEquivalentTo(1))
		Consistently(workers.polls.Load, 100*time.Millisecond).Should(BeEquivalentTo(1), "the scene's clock stands")
		t.cancel()
		Eventually(done).Should(BeClosed())
	})
})
