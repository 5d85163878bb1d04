package scheduler_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review of issue 47: acknowledgements while copies of starts are open.
var _ = Describe("the acknowledgement of ends while a start is open", func() {
	// One end as done represents all members of a gang. A copy of another member's start that
	// its worker's next incarnation carries out follows an end that was taken note of (TWICE).
	It("waits also for the starts of the other members of a gang", func() {
		s := newScene(worker("a"), worker("b"))
		job := gangJob("j", 2)
		job.Steps[0].MaxPerWorker = 1
		s.add(job)
		starts := s.plan().Starts
		Expect(starts).To(HaveLen(2))
		answered, open := starts[0], starts[1]
		s.pool.StartAnswered(answered, scheduler.Accepted, s.clock, s.now)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(open, scheduler.NoResponse, 0, s.now)
		s.poll(open.Worker, nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.poll(answered.Worker, nil, endReport(answered, scheduler.EndDone))
		s.poll(open.Worker, nil, endReport(again, scheduler.EndDone))
		s.save(300)
		req, due := s.pool.NextPoll(open.Worker, s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
		req, due = s.pool.NextPoll(answered.Worker, s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero(), "the first copy for the other member may still be carried out")
	})

	// Acks: ends have to be taken note of. A worker lists the oldest 500 ends only, so the
	// later ones are never seen while none is acknowledged.
	It("is not put off for ever where starts stay without an answer every few seconds", func() {
		const every = 5 * time.Second
		s := newScene(worker("a"))
		acked := int64(0)
		for i := range 12 {
			s.add(batchJob(string(rune('a'+i)), 1))
			first := only(s.plan().Starts)
			s.advance(timing.StartTimeout)
			s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
			s.poll("a", nil)
			again := only(s.plan().Starts)
			s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
			s.poll("a", nil, endReport(again, scheduler.EndDone))
			s.save(int64(300 + i))
			for range 10 {
				s.advance(every / 10)
				req, due := s.pool.NextPoll("a", s.now)
				Expect(due).To(BeTrue())
				acked = max(acked, req.AckedEnds)
				s.applyReply("a", nil, nil, req)
			}
		}
		Expect(acked).To(BeNumerically(">", 0), "of 12 ends in a minute")
	})

	// A short task had ended before its start's answer was missed, and the ends on its worker
	// waited for a copy that it had used up.
	It("does not wait for a start whose run has ended before its answer is missed", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		o := only(s.plan().Starts)
		s.advance(timing.StartTimeout / 2)
		s.poll("a", nil, endReport(o, scheduler.EndDone))
		s.save(300)
		s.advance(timing.StartTimeout / 2)
		s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeEquivalentTo(1))
		Expect(s.pool.Roster(s.now).OpenStarts).To(BeEmpty())
	})

	// A run was released while its start was on its way, which then got no answer.
	It("waits for a start that is missed after its run was released", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		o := only(s.plan().Starts)
		s.silent("a")
		s.advance(timing.MaxRunLease)
		s.plan()
		s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		left := only(s.pool.Roster(s.now).OpenStarts).Left
		Expect(left).To(BeNumerically(">=", timing.LateCalls))
	})

	// The owner's process did not run for a while, or the question which incarnation answers
	// took its time: the order left later than it was planned.
	It("counts from when a start may have been sent last", func() {
		const heldUp = 1500 * time.Millisecond
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(heldUp)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		sentBy := s.now
		s.poll("a", nil)
		again := only(s.plan().Starts)
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.poll("a", nil, endReport(again, scheduler.EndDone))
		s.save(300)
		s.advance(sentBy.Add(timing.LateCalls - 200*time.Millisecond).Sub(s.now))
		s.poll("a", nil)
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
	})

	// The answer to an earlier copy arrives after the next copy was sent.
	It("counts the last copy of a start as open whatever the answer to an earlier one", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.NoResponse, 0, s.now)
		s.advance(timing.StartTimeout)
		s.poll("a", nil)
		second := only(s.plan().Starts)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now) // raises the token
		s.poll("a", nil)
		s.advance(timing.OrderTimeout)
		third := only(s.plan().Starts)
		s.pool.StartAnswered(second, scheduler.Superseded, 0, s.now)
		s.advance(timing.OrderTimeout)
		s.pool.StartAnswered(third, scheduler.NoResponse, 0, s.now)
		s.poll("a", nil) // the third copy was not carried out
		s.setWorkers(worker("b"), drained("a"))
		s.poll("b", nil)
		s.advance(third.SentAt.Add(timing.LateCalls - 100*time.Millisecond).Sub(s.now))
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(BeEmpty(), "the third copy may still be carried out by the next incarnation")
	})

	// Both calls are lost as the worker is cut off and restarts. Its next incarnation carries
	// out the start, ends the run, and then the poll, which drops that end (TWICE).
	It("leaves no end unread that a poll drops which left beside the start and is late too", func() {
		s := newScene(worker("a"))
		s.add(batchJob("k", 1))
		s.poll("a", nil, endReport(only(s.startAll()), scheduler.EndDone))
		s.save(300)
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.advance(time.Millisecond)
		acks, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.advance(timing.OrderTimeout)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)

		noted := 0
		restarted := newSimWorker(worker("a"), s.now, map[scheduler.TaskID]int{}, func(scheduler.EndReport) { noted++ })
		random := rand.New(rand.NewSource(1))
		Expect(restarted.start(first, s.now, random)).To(Equal(scheduler.Accepted))
		r := restarted.running[first.Task]
		r.fails = false
		restarted.running[first.Task] = r
		s.advance(2 * time.Second)
		_, result := restarted.poll(acks, s.now, s.now)
		Expect(result).To(Equal(scheduler.Accepted))
		if noted == 0 {
			return
		}
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		reply, result := restarted.poll(req, s.now, s.now.Add(time.Millisecond))
		Expect(result).To(Equal(scheduler.Accepted))
		Expect(reply.Ends).To(BeEmpty())
		s.pool.ApplyPoll(reply)
		s.advance(time.Second)
		Expect(s.plan().Starts).To(BeEmpty(), "the task has ended as done, and that was taken note of")
	})
})

// drained returns the entry of a worker that drains.
func drained(id string) scheduler.WorkerInfo {
	w := worker(id)
	w.Draining = true
	return w
}
