package poolmanager

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("an owner with more progress to save than one transaction holds", func() {
	// All ends of a pool waited for each write whose response was lost, one after the
	// other; workers listed thousands of ends again and again meanwhile.
	It("saves the others while one write gets no response", func() {
		const jobs = 3 * saveBatch
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
		s.store.muteNext = poolstore.StatePrefix(sceneService)
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Ends: ends})
		o.goroutines.Go(o.saveLoop)
		completed := func() int {
			n := 0
			for i := range jobs {
				if s.completed(fmt.Sprintf("job-%02d", i)) {
					n++
				}
			}
			return n
		}
		Eventually(completed, o.timing.StoreTimeout/2, time.Millisecond).Should(Equal(jobs - saveBatch))
		o.cancel()
		o.goroutines.Wait()
	})
})
