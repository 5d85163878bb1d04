package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an owner that has to hand its pool over while it loads it", func() {
	// The process waits for the hand-over of each pool until it is killed.
	It("gives the pool up without the load", func() {
		s := newOwnershipScene()
		s.accept("job-0")
		o := s.own()
		s.store.failPage = 1
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.runPool()
		}()
		o.requestHandOver()
		defer func() { o.cancel(); <-done }()
		Eventually(func() bool {
			s.clock.Advance(100 * time.Millisecond)
			select {
			case <-done:
				return true
			default:
				return false
			}
		}, 2*time.Second, 5*time.Millisecond).Should(BeTrue())
	})
})
