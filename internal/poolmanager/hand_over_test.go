package poolmanager

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an owner that hands its pool over while saves are in progress", func() {
	// None of 28 ends was stored at a hand-over: progress that is claimed for a save is not
	// pending, so nothing waited for it.
	It("waits for them, as far as the time for the hand-over allows", func() {
		const jobs = 4 * saveBatch
		s := newOwnershipScene()
		for i := range jobs {
			s.accept(fmt.Sprintf("job-%02d", i))
		}
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		ends := make([]scheduler.EndReport, jobs)
		for i := range ends {
			ends[i] = scheduler.EndReport{Number: int64(i + 1), Task: scheduler.TaskID{Job: fmt.Sprintf("job-%02d", i)}, Attempt: 1, Kind: scheduler.EndDone}
		}
		s.millis++
		now := s.clock.Now()
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Ends: ends})
		o.Store = &slowWrites{fakeStore: s.store, delay: 200 * time.Millisecond}
		o.goroutines.Go(o.saveLoop)
		Eventually(func() bool { pending, _ := o.pool.SavePending(); return pending }).Should(BeFalse())
		o.release()
		o.goroutines.Wait()
		n := 0
		for i := range jobs {
			if s.completed(fmt.Sprintf("job-%02d", i)) {
				n++
			}
		}
		Expect(n).To(Equal(jobs))
	})
})
