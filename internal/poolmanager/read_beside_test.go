package poolmanager

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an owner that loads a pool of many pages", func() {
	const jobs = 60
	var s *ownershipScene
	var pages *hookedPages
	var o *poolOwnership

	BeforeEach(func() {
		s = newOwnershipScene()
		for i := range jobs {
			s.accept(fmt.Sprintf("job-%02d", i))
		}
		s.store.pageSize = 5
		pages = &hookedPages{fakeStore: s.store}
		s.manager.Store = pages
		o = s.own()
	})

	// A pool with thousands of jobs stood still for as long as all its pages take, one
	// after the other (issue 32).
	It("reads states while it waits for jobs", func() {
		begun := make(chan struct{})
		states := 0
		pages.beforeStates = func() {
			if states++; states == 1 {
				close(begun)
			}
		}
		held := 0
		beside := false
		pages.beforeJobs = func() {
			if held++; held != 4 {
				return
			}
			select {
			case <-begun:
				beside = true
			case <-time.After(time.Second):
			}
		}
		_, _, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(beside).To(BeTrue())
		Expect(o.pool.HasJob("job-00")).To(BeTrue())
		Expect(o.pool.HasJob("job-59")).To(BeTrue())
		Expect(s.store.pages).To(BeNumerically("<=", 2*(jobs/s.store.pageSize+1)+3))
	})

	// The state of a job that is accepted during the load is there once the job is: a
	// state read before would be missing, and the job would count as ended.
	DescribeTable("reads the state of each job after the job", func(factor int) {
		pages.statesFactor = factor
		accepted := 0
		pages.beforeJobs = func() {
			s.accept(fmt.Sprintf("job-%02d-late", 5*accepted+4))
			accepted++
		}
		_, _, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(BeNumerically(">", 10))
		for i := range min(accepted, jobs/5) {
			Expect(o.pool.HasJob(fmt.Sprintf("job-%02d-late", 5*i+4))).To(BeTrue(), "job %d", i)
		}
	},
		Entry("with pages of states that reach beyond the jobs", 4),
		Entry("with one page that holds all states", 20),
	)

	It("keeps what one read returned when the one beside it fails", func() {
		s.store.failPage = 6
		Eventually(func() error {
			_, _, err := o.tryLoad(context.Background())
			return err
		}).WithPolling(time.Millisecond).Should(Succeed())
		Expect(o.pool.HasJob("job-59")).To(BeTrue())
		Expect(s.store.pages).To(BeNumerically("<=", 2*(2*(jobs/s.store.pageSize+1)+3)))
	})

	It("ends the ownership when the read beside panics, and not the process", func() {
		pages.beforeStates = func() { panic("test") }
		_, _, err := o.tryLoad(context.Background())
		Expect(err).To(HaveOccurred())
		Eventually(o.ctx.Done()).Should(BeClosed())
	})
})
