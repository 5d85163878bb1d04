package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("an owner that reads its pool again for longer than it remembers ended jobs", func() {
	// A task of an ended job was started again, from progress read two minutes before.
	It("does not add a job that has ended meanwhile as one that goes on", func() {
		s := newOwnershipScene()
		first := s.accept("job-0")
		o := s.load()
		s.list(o, "a")
		s.poll(o, "a")
		s.accept("job-1") // the watch was cut off before
		items, _, err := s.store.Range(context.Background(), poolstore.JobsPrefix(sceneService))
		Expect(err).NotTo(HaveOccurred())
		s.store.pageSize, s.store.pages, s.store.failPage = 1, 0, 2
		Expect(o.resetWork(context.Background(), items)).NotTo(Succeed()) // has read the state of job-0
		s.millis++
		now := s.clock.Now()
		end := scheduler.EndReport{Number: 1, Task: scheduler.TaskID{Job: "job-0"}, Attempt: 1, Kind: scheduler.EndDone}
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: now, ReceivedAt: now, Incarnation: 1, Clock: s.millis, Ends: []scheduler.EndReport{end}})
		Expect(o.saveOnce(context.Background())).To(BeTrue())
		Expect(s.store.has(first.Key)).To(BeFalse())
		o.pool.Plan(s.clock.Now(), s.clock.Now()) // removes the job
		s.clock.Advance(121 * time.Second)
		o.pool.Plan(s.clock.Now(), s.clock.Now()) // forgets it
		s.store.failPage = 0
		Expect(o.resetWork(context.Background(), items)).To(Succeed())
		s.poll(o, "a")
		o.pool.RosterSaved(o.pool.Roster(s.clock.Now()))
		for _, start := range o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts {
			Expect(start.Task.Job).NotTo(Equal("job-0"))
		}
	})
})
