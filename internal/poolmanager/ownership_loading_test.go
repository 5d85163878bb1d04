package poolmanager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("an owner that needs long to load its pool", func() {
	const loadTime = 10 * time.Second
	var s *ownershipScene
	var w *leasedWorker
	var o *poolOwnership
	var done chan struct{}

	// pass lets virtual time pass in steps, and calls check after each. So many of the owner's
	// goroutines pause before each step: one that has not begun its pause yet would sleep
	// for longer than it does with a clock that does not wait for it.
	pass := func(d time.Duration, pausing int, check func()) {
		const step = 250 * time.Millisecond
		for range d / step {
			Expect(s.clock.BlockUntilContext(o.ctx, pausing)).To(Succeed())
			s.clock.Advance(step)
			check()
		}
	}
	const loaderAndPoller = 2

	BeforeEach(func() {
		s = newOwnershipScene()
		s.accept("job")
		s.store.put(listedWorkers{}.WorkersPrefix()+"a", nil, 0)
		s.store.failPrefix = poolstore.JobsPrefix(sceneService)
		w = newLeasedWorker(s.clock, sceneTiming.RunLease, scheduler.RunReport{Task: scheduler.TaskID{Job: "job"}, Attempt: 1, Percent: 100})
		s.manager.Workers, s.manager.Directory = w, listedWorkers{}
		o = s.own()
		done = make(chan struct{})
		go func() {
			defer close(done)
			o.runPool()
		}()
	})

	AfterEach(func() {
		o.cancel()
		Eventually(done).Should(BeClosed())
	})

	// The runs of the former owner ended with their leases, and long-running tasks were
	// not started again in time.
	It("extends the leases of runs that the former owner started, and takes them over afterwards", func() {
		pass(loadTime, loaderAndPoller, func() {
			Eventually(w.remaining).Should(BeNumerically(">", sceneTiming.RunLease/2))
		})
		polls, starts, stops := w.counts()
		Expect([]int{starts, stops}).To(Equal([]int{0, 0}))
		Expect(polls).To(BeNumerically("<=", int(loadTime/loadingPollInterval)+2))
		s.store.failPages("")
		Eventually(func() int64 {
			s.clock.Advance(maxRetryDelay)
			if !o.loaded.Load() {
				return 0
			}
			return o.pool.Counts().Adopted
		}).Should(BeEquivalentTo(1))
		_, starts, stops = w.counts()
		Expect([]int{starts, stops}).To(Equal([]int{0, 0}))
		Expect(w.lapsed).To(BeFalse())
	})

	// An end that was acknowledged before the jobs were there would be lost.
	It("acknowledges no end before its job is loaded, and applies the end afterwards", func() {
		w.mu.Lock()
		w.running = nil
		w.ends = []scheduler.EndReport{{Number: 1, Task: scheduler.TaskID{Job: "job"}, Attempt: 1, Kind: scheduler.EndDone}}
		w.mu.Unlock()
		pass(loadTime, loaderAndPoller, func() {
			Eventually(w.remaining).Should(BeNumerically(">", sceneTiming.RunLease/2))
		})
		w.mu.Lock()
		Expect(w.acked).To(BeZero())
		w.mu.Unlock()
		s.store.failPages("")
		Eventually(func() bool {
			s.clock.Advance(maxRetryDelay)
			return s.completed("job")
		}).Should(BeTrue())
		_, starts, _ := w.counts()
		Expect(starts).To(BeZero())
	})

	// Its goroutines must not outlive the ownership.
	It("ends its polls when it loses the pool during the load", func() {
		Eventually(func() int { polls, _, _ := w.counts(); return polls }).Should(BeNumerically(">=", 2))
		o.lose("test")
		Eventually(done).Should(BeClosed())
		polls, _, _ := w.counts()
		pass(loadTime, 0, func() {})
		Expect(func() int { n, _, _ := w.counts(); return n }()).To(Equal(polls))
	})
})
