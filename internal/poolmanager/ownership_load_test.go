package poolmanager

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
)

var _ = Describe("an owner whose store fails some reads", func() {
	const jobs = 60
	var s *ownershipScene

	BeforeEach(func() {
		s = newOwnershipScene()
		for i := range jobs {
			s.accept(fmt.Sprintf("job-%02d", i))
		}
		s.store.pageSize, s.store.failPage = 5, 4
	})

	// A pool with thousands of jobs stood still: each failed page began the load anew.
	It("loads a pool of many pages in a number of reads that grows with the pages", func() {
		o := s.own()
		Eventually(func() error {
			_, _, err := o.tryLoad(context.Background())
			return err
		}).WithPolling(time.Millisecond).Should(Succeed())
		Expect(o.pool.HasJob("job-00")).To(BeTrue())
		Expect(o.pool.HasJob("job-59")).To(BeTrue())
		pages := 2*(jobs/s.store.pageSize+1) + 1
		Expect(s.store.pages).To(BeNumerically("<=", 2*pages))
	})

	// The pause grew with each failure of the load, however many pages were read between.
	It("pauses shortly after a failed page, if pages were read before it", func() {
		o := s.own()
		begun := s.clock.Now()
		loaded := make(chan struct{})
		go func() {
			defer close(loaded)
			o.repeat(func(context.Context) error {
				_, _, err := o.tryLoad(context.Background())
				return err
			})
		}()
		Eventually(func() bool {
			select {
			case <-loaded:
				return true
			default:
			}
			limited, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			if s.clock.BlockUntilContext(limited, 1) == nil {
				s.clock.Advance(minRetryDelay)
			}
			return false
		}).WithPolling(time.Millisecond).Should(BeTrue())
		Expect(s.clock.Now().Sub(begun)).To(BeNumerically("<=", time.Duration(s.store.pages/s.store.failPage)*minRetryDelay))
	})

	// The same after the store has compacted the changes that the owner would watch.
	It("reads the pool again, page by page, after a watch was cut off", func() {
		s.store.failPage = 0
		o := s.load()
		for i := range jobs {
			s.accept(fmt.Sprintf("late-%02d", i))
		}
		s.store.failPage = 4
		w := o.newWatcher(poolstore.JobsPrefix(sceneService), o.resetWork, o.applyWork)
		Eventually(func() error {
			_, err := w.readAll(context.Background())
			return err
		}).WithPolling(time.Millisecond).Should(Succeed())
		Expect(o.pool.HasJob("late-59")).To(BeTrue())
	})
})
