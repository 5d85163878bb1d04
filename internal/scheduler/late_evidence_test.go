package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("an owner that has applied no reply of some workers for a while", func() {
	// The other tasks of the step may have been away for longer than the users' bound
	// (notice_ms, 4.5 s): nothing heard since shows that they are at work.
	It("stops no long-running task to empty a machine", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(longRunningJob("j", 3))
		runs := s.startAll()
		Expect(runs).To(HaveLen(3))
		for _, r := range runs {
			s.poll(r.Worker, []scheduler.RunReport{runReport(r)})
		}
		s.advance(time.Second) // stops of a former owner are over
		for _, r := range runs[1:] {
			_, due := s.pool.NextPoll(r.Worker, s.now) // its outcome waits to be applied
			Expect(due).To(BeTrue())
		}
		for range 5 {
			s.advance(time.Second)
			s.poll(runs[0].Worker, []scheduler.RunReport{runReport(runs[0])})
		}
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + runs[0].Worker: s.now.Add(time.Second)}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
	})
})

var _ = Describe("an owner whose polls wait for as long as no task ends", func() {
	// Polls of lasting tasks have a reply each second only: evidence that is old for them
	// would keep the machines of a wave from being emptied.
	It("stops a long-running task to empty a machine between two replies", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(longRunningJob("j", 3))
		runs := s.startAll()
		Expect(runs).To(HaveLen(3))
		sent := s.now.Add(-time.Second)
		for range 3 {
			for _, r := range runs {
				s.pool.NextPoll(r.Worker, s.now)
				s.pool.ApplyPoll(scheduler.PollReply{Worker: r.Worker, SentAt: sent, ReceivedAt: s.now, Incarnation: 1, Clock: s.clock, Running: []scheduler.RunReport{runReport(r)}})
			}
			sent = s.now
			s.advance(time.Second)
		}
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + runs[0].Worker: s.now.Add(time.Second)}, nil)
		Expect(only(s.plan().Stops).Worker).To(Equal(runs[0].Worker))
	})
})

var _ = Describe("an owner that reads a reply seconds after it was sent", func() {
	// The time of the read would make old evidence look fresh.
	It("stops no long-running task to empty a machine because of what it lists", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(longRunningJob("j", 2))
		runs := s.startAll()
		Expect(runs).To(HaveLen(2))
		late, due := s.pool.NextPoll(runs[1].Worker, s.now)
		Expect(due).To(BeTrue())
		sent, clock := s.now, s.clock
		s.advance(5 * time.Second)
		s.poll(runs[0].Worker, []scheduler.RunReport{runReport(runs[0])})
		s.pool.ApplyPoll(scheduler.PollReply{Worker: late.Worker, SentAt: sent, ReceivedAt: s.now, Incarnation: 1, Clock: clock, Running: []scheduler.RunReport{runReport(runs[1])}})
		s.pool.SetMachinesToEmpty(map[string]time.Time{"m-" + runs[0].Worker: s.now.Add(time.Second)}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
		s.poll(late.Worker, []scheduler.RunReport{runReport(runs[1])})
		Expect(only(s.plan().Stops).Worker).To(Equal(runs[0].Worker))
	})
})
