package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Issue 47 (TWICE): a start that got no answer was carried out seconds later by the next
// incarnation of its worker, which knew neither the fencing token nor which attempts had ended.
var _ = Describe("a start without an answer that a later incarnation of its worker may carry out", func() {
	const present = 2
	var s *scene
	var first scheduler.StartOrder
	BeforeEach(func() {
		s = newScene(worker("a"), worker("b"))
		s.pool.SetWorkers([]scheduler.WorkerInfo{worker("a")}, s.now)
		s.add(batchJob("j", 1))
		first = only(s.plan().Starts)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
	})
	// sendAgain has a reply show that the start was not carried out, and returns its next copy.
	sendAgain := func() scheduler.StartOrder {
		s.poll("a", nil)
		return only(s.plan().Starts)
	}
	// answerAsNext applies the reply of the worker's next incarnation to a poll.
	answerAsNext := func(running ...scheduler.RunReport) {
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		s.advance(time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Token: req.Token, Incarnation: present, Clock: 5, Running: running})
	}

	It("is not sent again where a reply shows its run", func() {
		s.poll("a", []scheduler.RunReport{runReport(first)})
		s.advance(timing.OrderTimeout)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil, endReport(first, scheduler.EndDone))
		s.save(300)
		req, _ := s.pool.NextPoll("a", s.now)
		Expect(req.AckedEnds).To(BeEquivalentTo(1), "its only copy was carried out")
	})

	It("is refused by each incarnation that has replied since", func() {
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Token).To(BeNumerically(">", first.Token))
		Expect(sendAgain().Token).To(Equal(req.Token))
		Expect(s.pool.TokenRaised("a", first.Token)).To(BeTrue(), "a refusal of the first copy shows no later owner")
		Expect(s.pool.TokenRaised("a", req.Token)).To(BeFalse())
	})

	// The pause of a usual poll would come on top of the time for the start's answer.
	It("is asked for at once, and only once", func() {
		req, _ := s.pool.NextPoll("a", s.now)
		Expect(req.AtOnce).To(BeTrue())
		s.applyReply("a", nil, nil, req)
		Expect(s.plan().Starts).To(HaveLen(1))
		req, _ = s.pool.NextPoll("a", s.now)
		Expect(req.AtOnce).To(BeFalse(), "its next copy is on the way")
	})

	// DRAIN: a start was sent again to a worker that had begun to drain.
	It("is not sent again to a worker that drains", func() {
		s.setWorkers(drained("a"), worker("b"))
		s.poll("a", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(timing.OrderTimeout)
		Expect(s.plan().Starts).To(BeEmpty())
	})

	It("lets its task start again on that worker only", func() {
		sendAgain()
		answerAsNext()
		s.advance(time.Millisecond)
		answerAsNext()
		s.restartedAs("a", present)
		again := s.startAll()
		Expect(startTexts(again)).To(Equal([]string{"j/0@a#1"}), "a worker runs an attempt once")
		Expect(again[0].Incarnation).To(BeEquivalentTo(present))
	})

	// BUDGET: failed attempts are counted by their numbers.
	It("lets its task start under the next number if its attempt has ended", func() {
		again := sendAgain()
		s.poll("a", nil, endReport(again, scheduler.EndFailed))
		s.advance(time.Second)
		s.poll("a", nil)
		Expect(startTexts(s.startAll())).To(Equal([]string{"j/0@a#2"}))
	})

	It("lets its task start elsewhere once its run would have ended", func() {
		s.silent("a")
		s.advance(timing.LateCalls)
		s.silent("a")
		s.poll("b", nil)
		Expect(s.plan().Starts).To(BeEmpty(), "it may run until its lease has expired")
		s.advance(timing.MaxRunLease + 500*time.Millisecond)
		s.silent("a")
		s.poll("b", nil)
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"j/0@b#2"}))
	})

	It("keeps the end of its task from being acknowledged, and not from being saved", func() {
		again := sendAgain()
		s.pool.StartAnswered(again, scheduler.Accepted, s.clock, s.now)
		s.poll("a", nil, endReport(again, scheduler.EndDone))
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
		Expect(s.pool.HasUnsavedEnds("a")).To(BeTrue(), "polls pause while ends are listed")
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
		s.advance(timing.LateCalls)
		s.poll("a", nil)
		req, due = s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeEquivalentTo(1))
	})

	It("is taken over by the next owner", func() {
		again := sendAgain()
		roster := s.pool.Roster(s.now)
		Expect(roster.OpenStarts).To(HaveLen(1))
		next := &scene{now: s.now, clock: s.clock, lastEnd: map[string]int64{}}
		next.pool = scheduler.NewPool("tags", token+50, timing, roster, s.now)
		next.setWorkers(worker("a"), worker("b"))
		next.addSaved(batchJob("j", 1), token+1, scheduler.Progress{})
		next.poll("b", nil)
		next.poll("a", nil, endReport(again, scheduler.EndDone))
		Expect(next.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
		next.advance(time.Second)
		req, due := next.pool.NextPoll("a", next.now)
		Expect(due).To(BeTrue())
		Expect(req.AckedEnds).To(BeZero())
		Expect(next.pool.Roster(next.now).OpenStarts).To(HaveLen(1))
		next.advance(timing.LateCalls + 2*time.Second)
		next.poll("a", nil)
		req, _ = next.pool.NextPoll("a", next.now)
		Expect(req.AckedEnds).To(BeEquivalentTo(1))
	})

	It("keeps the token raised when the worker is removed and listed again", func() {
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.setWorkers(worker("b"))
		s.advance(timing.MaxRunLease + 5*time.Second)
		s.plan()
		s.plan()
		Expect(s.pool.HasWorker("a")).To(BeFalse())
		s.setWorkers(worker("a"), worker("b"))
		req, due := s.pool.NextPoll("a", s.now)
		Expect(due).To(BeTrue())
		Expect(req.Token).To(BeNumerically(">", first.Token))
	})
})
