package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a worker whose replies come later than a poll's timeout", func() {
	const pause = 100 * time.Millisecond // between two polls

	// started returns a scene in which a task of one job runs, and its start.
	started := func(sub scheduler.Submission) (*scene, scheduler.StartOrder) {
		s := newScene(worker("a"), worker("b"))
		s.add(sub)
		run := only(s.startAll())
		s.poll(run.Worker, []scheduler.RunReport{runReport(run)})
		return s, run
	}
	// nextReply polls the worker until a poll waits long enough for a reply that takes
	// delay, and returns that poll.
	nextReply := func(s *scene, id string, delay time.Duration) scheduler.PollRequest {
		for range 20 {
			req, due := s.pool.NextPoll(id, s.now)
			ExpectWithOffset(1, due).To(BeTrue())
			if req.Timeout >= delay {
				return req
			}
			s.advance(req.Timeout)
			ExpectWithOffset(1, s.plan().Starts).To(BeEmpty())
			s.pool.PollFailed(id, scheduler.NoResponse, s.now)
			s.advance(pause)
			ExpectWithOffset(1, s.plan().Starts).To(BeEmpty())
		}
		Fail("no poll waits long enough", 1)
		return scheduler.PollRequest{}
	}
	expectCompleted := func(s *scene) {
		ExpectWithOffset(1, s.plan().Starts).To(BeEmpty())
		ExpectWithOffset(1, s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
	}

	// Incident 31: each poll was cut off at the same timeout, and the task ran again after
	// each of them had listed its end.
	It("is waited for longer after each poll without a reply, and the ends that it lists are applied", func() {
		s, run := started(batchJob("j", 1))
		const delay = 2 * time.Second
		req := nextReply(s, run.Worker, delay)
		s.advance(delay)
		Expect(s.plan().Starts).To(BeEmpty())
		s.applyReply(run.Worker, nil, []scheduler.EndReport{endReport(run, scheduler.EndDone)}, req)
		expectCompleted(s)
	})

	// Incident 31: one poll was cut off, no other was sent while the owner was overloaded,
	// and the lease of the first ended.
	It("keeps its tasks while no poll has waited long enough, however late the next poll is", func() {
		s, run := started(batchJob("j", 1))
		_, due := s.pool.NextPoll(run.Worker, s.now)
		Expect(due).To(BeTrue())
		s.pool.PollFailed(run.Worker, scheduler.NoResponse, s.now)
		s.advance(timing.MaxRunLease + time.Second)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll(run.Worker, nil, endReport(run, scheduler.EndDone))
		expectCompleted(s)
	})

	// Incident 31: an order that was not sent, since no connection was free, was enough to
	// count a worker as gone.
	It("keeps its tasks while no poll has failed", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		run := only(s.startAll())
		s.poll("a", []scheduler.RunReport{runReport(run)})
		s.add(batchJob("k", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.NotReached, 0, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.advance(timing.MaxRunLease + time.Second)
		s.poll("b", nil)
		Expect(only(s.plan().Starts).Task.Job).To(Equal("k"))
		s.poll("a", nil, endReport(run, scheduler.EndDone))
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
	})

	// Incident 31: a refused connection counted like a poll that had waited for the longest time.
	It("keeps its tasks when the poll that would have waited long enough finds no connection", func() {
		s, run := started(batchJob("j", 1))
		nextReply(s, run.Worker, 2*time.Second)
		s.pool.PollFailed(run.Worker, scheduler.NotReached, s.now)
		s.advance(timing.RunLease)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll(run.Worker, nil, endReport(run, scheduler.EndDone))
		expectCompleted(s)
	})

	It("loses its tasks at the end of their leases if it refuses all connections meanwhile", func() {
		s, run := started(longRunningJob("j", 1))
		ended := s.now.Add(timing.RunLease + 500*time.Millisecond)
		retry := pollRetry
		for s.now.Before(ended) {
			Expect(s.plan().Starts).To(BeEmpty())
			_, due := s.pool.NextPoll(run.Worker, s.now)
			Expect(due).To(BeTrue())
			s.pool.PollFailed(run.Worker, scheduler.NotReached, s.now)
			s.advance(min(retry, ended.Sub(s.now)))
			retry = min(2*retry, maxPollRetry)
		}
		Expect(only(s.plan().Starts).Worker).NotTo(Equal(run.Worker))
	})

	It("is polled with the usual timeout again once it replies quickly", func() {
		s, run := started(longRunningJob("j", 1))
		req := nextReply(s, run.Worker, 2*time.Second)
		s.applyReply(run.Worker, []scheduler.RunReport{runReport(run)}, nil, req)
		req, due := s.pool.NextPoll(run.Worker, s.now)
		Expect(due).To(BeTrue())
		Expect(req.Timeout).To(Equal(timing.OrderTimeout))
	})

	// By the users' rules a lasting task has to start again within 9 s of its last run.
	It("loses its tasks if it never replies, soon enough for those that last", func() {
		s, run := started(longRunningJob("j", 1))
		const latest = 9 * time.Second
		gone := s.now
		for s.now.Before(gone.Add(latest)) {
			if plan := s.plan(); len(plan.Starts) > 0 {
				Expect(only(plan.Starts).Worker).NotTo(Equal(run.Worker))
				return
			}
			req, due := s.pool.NextPoll(run.Worker, s.now)
			Expect(due).To(BeTrue())
			if req.Deadline > 0 {
				s.advance(pollWait)
			}
			s.advance(req.Timeout)
			s.pool.PollFailed(run.Worker, scheduler.NoResponse, s.now)
			if plan := s.plan(); len(plan.Starts) > 0 {
				Expect(only(plan.Starts).Worker).NotTo(Equal(run.Worker))
				return
			}
			s.advance(maxPollRetry)
		}
		Fail("its task did not start again")
	})

	It("loses its tasks when their leases end if the platform no longer lists it", func() {
		s, run := started(longRunningJob("j", 1))
		other := map[string]string{"a": "b", "b": "a"}[run.Worker]
		s.pool.PollFailed(run.Worker, scheduler.NoResponse, s.now)
		s.setWorkers(worker(other))
		s.advance(timing.RunLease + 500*time.Millisecond)
		s.poll(other, nil)
		Expect(only(s.plan().Starts).Worker).To(Equal(other))
	})
})
