package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a pool of two machines, of which one is offered and the other's worker refuses all starts as unhealthy", func() {
	const (
		planStep   = 10 * time.Millisecond
		reportStep = 60 * time.Millisecond // as the pool's owner makes reports
	)
	var s *scene
	var offered string // the worker whose machine is offered

	// play plans, polls and reports like the pool's owner for the given time, with the machine
	// that is taken back in use again after the next report. It returns the starts by worker,
	// and how long it took until one was accepted, 0 if none was.
	play := func(d time.Duration, result func(id string) scheduler.OrderResult) (starts map[string]int, took time.Duration) {
		starts = map[string]int{}
		began, reportAt := s.now, s.now.Add(reportStep)
		for s.now.Sub(began) < d {
			for _, o := range s.plan().Starts {
				starts[o.Worker]++
				r := result(o.Worker)
				s.pool.StartAnswered(o, r, s.clock, s.now)
				if r == scheduler.Accepted {
					return starts, s.now.Sub(began)
				}
			}
			if !s.now.Before(reportAt) {
				reportAt = s.now.Add(reportStep)
				for _, m := range s.pool.CapacityReport(s.now).TakeBack {
					s.pool.WithdrawOffer(m)
				}
			}
			s.advance(planStep)
		}
		return starts, 0
	}

	BeforeEach(func() {
		s = newScene(worker("w1"), worker("w2"))
		s.pool.SetShare(2, 0)
		s.advance(time.Minute)
		s.poll("w1", nil)
		s.poll("w2", nil)
		s.plan()
		s.pool.SetOffered([]string{"m-w2"})
		offered = "w2"
	})

	// Guards against LOST (nothing of a job runs for 3 s with capacity idle): the owner sent the
	// task to the unhealthy worker each 306 ms, 31 times, and never took the other machine back.
	It("starts the task on the other within a second", func() {
		s.add(batchJob("j", 1))
		starts, took := play(10*time.Second, func(id string) scheduler.OrderResult {
			if id == offered {
				return scheduler.Accepted
			}
			return scheduler.Unhealthy
		})
		Expect(starts[offered]).To(Equal(1), "refused %d times elsewhere", starts["w1"])
		Expect(took).To(BeNumerically("<=", time.Second))
	})

	// A pause that grows without bound would be LOST once the worker is well again.
	It("tries the unhealthy worker each second at least, while the offer is taken", func() {
		s.pool.OfferTaken("m-w2")
		s.add(batchJob("j", 1))
		starts, _ := play(10*time.Second, func(string) scheduler.OrderResult { return scheduler.Unhealthy })
		Expect(starts["w1"]).To(And(BeNumerically(">=", 10), BeNumerically("<", 20)), "a call each 0.3 s would be 34")
		_, took := play(3*time.Second, func(string) scheduler.OrderResult { return scheduler.Accepted })
		Expect(took).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	})

	// What the process refused that has ended says nothing of the one that runs now.
	It("counts no refusals of the worker's former process", func() {
		s.pool.OfferTaken("m-w2")
		s.add(batchJob("j", 1))
		refuse := func(string) scheduler.OrderResult { return scheduler.Unhealthy }
		starts, _ := play(500*time.Millisecond, refuse)
		Expect(starts["w1"]).To(Equal(2))
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "w1", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: s.clock})
		present := worker("w1")
		present.Incarnation = 2
		s.setWorkers(present, worker("w2"))
		s.advance(time.Second)
		starts, _ = play(500*time.Millisecond, refuse)
		Expect(starts["w1"]).To(Equal(2), "a pause of 0.3 s after the first")
	})

	// The answer to the accepted start was lost.
	It("counts no refusals from before a run that a poll lists", func() {
		s.pool.OfferTaken("m-w2")
		s.add(batchJob("j", 1))
		refuse := func(string) scheduler.OrderResult { return scheduler.Unhealthy }
		starts, _ := play(500*time.Millisecond, refuse)
		Expect(starts["w1"]).To(Equal(2))
		s.advance(time.Second)
		o := only(s.plan().Starts)
		s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
		s.poll("w1", []scheduler.RunReport{runReport(o)})
		s.add(batchJob("k", 1))
		starts, _ = play(500*time.Millisecond, refuse)
		Expect(starts["w1"]).To(Equal(2), "a pause of 0.3 s after the first")
	})

	// Nothing starts on an offered machine, so that nothing would show that it is well again.
	It("takes the machine back later that refused starts before it was offered", func() {
		s.pool.OfferTaken("m-w2")
		s.add(batchJob("j", 1))
		play(500*time.Millisecond, func(string) scheduler.OrderResult { return scheduler.Unhealthy })
		s.pool.SetOffered([]string{"m-w1"})
		offered = "w1"
		_, took := play(3*time.Second, func(string) scheduler.OrderResult { return scheduler.Accepted })
		Expect(took).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	})

	// One answer of a worker that has run into a short fault moves no machine.
	It("takes no machine back for many starts that are refused at one time", func() {
		s.add(batchJob("j", 8))
		for _, o := range s.plan().Starts {
			Expect(o.Worker).To(Equal("w1"))
			s.pool.StartAnswered(o, scheduler.Unhealthy, s.clock, s.now)
		}
		taken := 0
		for range 4 {
			s.advance(reportStep)
			s.plan()
			taken += len(s.pool.CapacityReport(s.now).TakeBack)
		}
		Expect(taken).To(BeZero())
		s.advance(reportStep)
		Expect(s.startAll()).To(HaveLen(8))
	})
})
