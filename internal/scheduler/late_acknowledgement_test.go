package scheduler_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review/11 (TWICE): a task was done twice. A poll that acknowledged an end and a start sent
// after it got no answer, and the worker's next incarnation carried out the start, ended its
// run and then forgot that end for the poll.
var _ = Describe("an acknowledgement and a start after it that both get no answer", func() {
	const (
		startLate = 2 * time.Second // longer than the task takes
		pollLate  = 4 * time.Second
	)
	// acknowledging returns a scene in which a poll of worker a has been sent that acknowledges
	// its end.
	acknowledging := func() (*scene, scheduler.PollRequest) {
		s := newScene(worker("a"))
		s.add(batchJob("k", 1))
		s.poll("a", nil, endReport(only(s.startAll()), scheduler.EndDone))
		s.save(300)
		acks, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(acks.AckedEnds).To(BeEquivalentTo(1))
		return s, acks
	}
	DescribeTable("leave no end unread in the worker's next incarnation", func(startAfter, pollAfter, firstPollAfter time.Duration) {
		s, acks := acknowledging()
		s.advance(9 * time.Millisecond)
		s.add(batchJob("j", 1))
		start := only(s.plan().Starts)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(start, scheduler.NoResponse, 0, s.now)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)

		noted, read := 0, 0
		restarted := newSimWorker(worker("a"), s.now, map[scheduler.TaskID]int{}, func(scheduler.EndReport) { noted++ })
		carryOut := map[time.Duration]func(){
			startAfter: func() {
				if restarted.start(start, s.now, rand.New(rand.NewSource(1))) == scheduler.Accepted {
					restarted.running[start.Task] = simRun{attempt: start.Attempt, endsAt: s.now.Add(time.Second)}
				}
			},
			pollAfter: func() { restarted.poll(acks, s.now, s.now) },
			firstPollAfter: func() {
				s.setWorkers(restarted.info)
				req, due := s.pool.NextPoll("a", s.now)
				Expect(due).To(BeTrue())
				reply, result := restarted.poll(req, s.now, s.now.Add(time.Millisecond))
				Expect(result).To(Equal(scheduler.Accepted))
				read = len(reply.Ends)
				s.pool.ApplyPoll(reply)
			},
		}
		began := s.now
		for _, at := range []time.Duration{time.Second, startLate, pollLate, pollLate + time.Second} {
			s.advance(began.Add(at).Sub(s.now))
			if do := carryOut[at]; do != nil {
				do()
			}
		}
		Expect(noted).To(BeZero(), "no owner has read the end")
		ran := restarted.lastEnd > 0
		Expect(read > 0).To(Equal(ran && firstPollAfter > startAfter))
		if ran && read > 0 {
			Expect(s.plan().Starts).To(BeEmpty(), "the task is done")
		}
	},
		Entry("which is polled after both were carried out", startLate, pollLate, pollLate+time.Second),
		Entry("which is polled after both were carried out, the acknowledgement first", pollLate, startLate, pollLate+time.Second),
		Entry("which is polled before both are carried out", startLate, pollLate, time.Second),
		Entry("which is polled before both are carried out, the acknowledgement first", pollLate, startLate, time.Second),
	)

	It("have a repeated start with a higher token too", func() {
		s := newScene(worker("a"))
		s.add(batchJob("k", 1))
		ended := only(s.startAll())
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		s.poll("a", []scheduler.RunReport{runReport(ended)}) // it has not carried out the start
		end := endReport(ended, scheduler.EndDone)
		end.Number = 1
		sent := s.now
		s.advance(time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: sent, ReceivedAt: s.now, Incarnation: 1, Clock: s.clock, Ends: []scheduler.EndReport{end}, Partial: true})
		s.save(300)
		acks, _ := s.pool.NextPoll("a", s.now)
		Expect(acks.AckedEnds).To(BeEquivalentTo(1))
		s.advance(timing.StartTimeout)
		again := only(s.plan().Starts)
		Expect(again.Task).To(Equal(first.Task))
		Expect(again.Token).To(BeNumerically(">", acks.Token))
	})

	// A poll that is still on its way when a start with a higher token overtakes it is refused.
	// Its ends are to be acknowledged by the next one at once.
	It("has a poll sent again at once that the start has overtaken", func() {
		s, acks := acknowledging()
		s.add(batchJob("j", 1))
		start := only(s.plan().Starts)
		s.pool.StartAnswered(start, scheduler.Accepted, s.clock, s.now)
		Expect(s.pool.TokenRaised("a", acks.Token)).To(BeTrue())
		Expect(s.pool.PollFailed("a", scheduler.Superseded, s.now)).To(BeTrue())
		again, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(again.AckedEnds).To(BeEquivalentTo(1))
		Expect(again.Token).To(BeNumerically(">=", start.Token))
	})

	// The token has a bounded number of steps, and calls in flight are refused when it rises.
	It("raise the token no further once a reply shows that the acknowledgement has arrived", func() {
		s, acks := acknowledging()
		s.applyReply("a", nil, nil, acks)
		s.add(batchJob("j", 1))
		Expect(only(s.plan().Starts).Token).To(Equal(acks.Token))
	})

	// The platform lists the worker no longer, and then again: the pool knows it anew, and a copy
	// of the acknowledgement may still be carried out.
	It("have a start with a higher token also after the worker was removed meanwhile", func() {
		s, acks := acknowledging()
		s.pool.PollFailed("a", scheduler.OtherIncarnation, s.now)
		s.setWorkers()
		s.advance(timing.MaxRunLease + time.Second)
		s.plan()
		Expect(s.pool.HasWorker("a")).To(BeFalse())
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.setWorkers(worker("a"))
		s.add(batchJob("j", 1))
		Expect(only(s.plan().Starts).Token).To(BeNumerically(">", acks.Token))
	})

	It("have a stop sent again at once that a start has overtaken", func() {
		s := newScene(worker("a"))
		s.add(batchJob("c", 1))
		running := only(s.startAll())
		s.poll("a", []scheduler.RunReport{runReport(running)})
		s.pool.CancelJob(running.Task.Job, 400)
		first := only(s.plan().Stops)
		s.advance(time.Millisecond)
		s.pool.StopAnswered(first, scheduler.Superseded, s.now)
		Expect(s.plan().Stops).To(HaveLen(1))
	})

	// Stops and starts of one plan are sent at once and overtake each other.
	It("leave no stop of the same plan with a lower token than its starts", func() {
		s := newScene(worker("a"))
		s.add(batchJob("c", 1))
		s.add(batchJob("k", 1))
		starts := s.startAll()
		Expect(starts).To(HaveLen(2))
		running, ended := starts[0], starts[1]
		s.poll("a", []scheduler.RunReport{runReport(running)}, endReport(ended, scheduler.EndDone))
		s.save(300)
		acks, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(acks.AckedEnds).To(BeEquivalentTo(1))
		s.pool.CancelJob(running.Task.Job, 400)
		s.add(batchJob("j", 1))
		plan := s.plan()
		Expect(only(plan.Stops).Token).To(BeNumerically(">=", only(plan.Starts).Token))
	})
})
