package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review/12 (LOST): a call that was granted no worker named the same ones again, so that jobs
// whose allowed workers it left out never began.
var _ = Describe("a queue whose tasks need tickets, in a pool with more workers than one call names", func() {
	const (
		tick     = 10 * time.Millisecond
		taskTime = 500 * time.Millisecond
		// lostAfter is the users' bound for a job with nothing running.
		lostAfter = 3 * time.Second
	)
	policy := scheduler.AdvicePolicy{DecideTime: 80 * time.Millisecond, PerWorker: 5 * time.Millisecond, TicketValidity: 3 * time.Second}
	var s *scene
	var service *adviceService
	id := func(i int) string { return fmt.Sprintf("w%03d", i) }
	// newPool has workers 1 to n, of which the service grants the given ones.
	newPool := func(n int, allowed ...int) {
		var workers []scheduler.WorkerInfo
		refuses := map[string]bool{}
		for i := 1; i <= n; i++ {
			workers = append(workers, worker(id(i)))
			refuses[id(i)] = true
		}
		for _, i := range allowed {
			delete(refuses, id(i))
		}
		s = newScene(workers...)
		s.pool.SetShare(n, 0)
		service = &adviceService{s: s, policy: policy, refuses: refuses}
	}
	advised := func(id string) scheduler.Submission {
		sub := batchJob(id, 1)
		sub.Advice = &policy
		return sub
	}

	running := map[scheduler.TaskID]scheduler.StartOrder{}
	endsAt := map[scheduler.TaskID]time.Time{}
	startedAt := map[string]time.Time{}
	BeforeEach(func() {
		clear(running)
		clear(endsAt)
		clear(startedAt)
	})
	// pass lets time pass, with tasks that end after taskTime.
	pass := func(d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); s.advance(tick) {
			service.tick()
			busy, runs, ends := map[string]bool{}, map[string][]scheduler.RunReport{}, map[string][]scheduler.EndReport{}
			for task, o := range running {
				busy[o.Worker] = true
				if s.now.Before(endsAt[task]) {
					runs[o.Worker] = append(runs[o.Worker], runReport(o))
				} else {
					ends[o.Worker] = append(ends[o.Worker], endReport(o, scheduler.EndDone))
					delete(running, task)
				}
			}
			for w := range busy {
				s.poll(w, runs[w], ends[w]...)
			}
			plan := s.plan()
			for _, o := range plan.Starts {
				running[o.Task], endsAt[o.Task] = o, s.now.Add(taskTime)
				startedAt[o.Task.Job] = s.now
				s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
			}
			for _, r := range plan.Advice {
				Expect(len(r.Workers)).To(BeNumerically("<=", 100), "what the protocol allows")
				service.call(r)
			}
			s.save(400)
		}
	}
	// longestWait returns the longest time that the service needs to find the only worker that
	// it grants among n, for one step: calls name 30, 60, and then 100 workers.
	longestWait := func(n int) time.Duration {
		wait := time.Duration(0)
		for most := 30; n > 0; most = min(2*most, 100) {
			named := min(n, most)
			wait += policy.DecideTime + time.Duration(named)*policy.PerWorker + 2*tick
			n -= named
		}
		return wait + tick
	}

	DescribeTable("starts a job of a calm queue within the time of the calls that name all workers once", func(n int) {
		Expect(longestWait(n)).To(BeNumerically("<", lostAfter))
		newPool(n, n)
		s.add(advised("first"))
		accepted := s.now
		pass(lostAfter)
		Expect(startedAt).To(HaveKey("first"))
		Expect(startedAt["first"].Sub(accepted)).To(BeNumerically("<=", longestWait(n)))
	},
		Entry(nil, 1), Entry(nil, 2), Entry(nil, 12), Entry(nil, 30), Entry(nil, 31), Entry(nil, 45), Entry(nil, 60), Entry(nil, 91),
		Entry(nil, 120), Entry(nil, 200), Entry(nil, 300),
	)

	// The largest burst of the users' small site, and half as many workers again.
	DescribeTable("starts all jobs of a burst", func(n int, allowed ...int) {
		const jobs = 40
		newPool(n, allowed...)
		for i := range jobs {
			s.add(advised(fmt.Sprintf("j%02d", i)))
			pass(80 * time.Millisecond)
		}
		pass(10 * time.Second)
		Expect(startedAt).To(HaveLen(jobs))
	},
		Entry("where two of 12 workers are allowed", 12, 11, 12),
		Entry("where one of 24 workers is allowed", 24, 24),
		Entry("where one of 45 workers is allowed", 45, 45),
		Entry("where one of 120 workers is allowed", 120, 120),
	)

	It("asks first for the workers that another step of the queue was granted", func() {
		newPool(120, 120)
		s.add(advised("first"))
		pass(lostAfter)
		s.add(advised("second"))
		Expect(only(s.plan().Advice).Workers[0]).To(Equal(id(120)))
	})

	It("starts the jobs behind one that no worker may run", func() {
		newPool(60, 60)
		s.add(advised("next"))
		pass(lostAfter)
		hopeless := advised("hopeless")
		hopeless.Queue, hopeless.Priority = "hopeless", -1
		service.refusesJob = hopeless.ID
		s.add(hopeless)
		for i := range 20 {
			job := fmt.Sprintf("j%02d", i)
			s.add(advised(job))
			accepted := s.now
			pass(lostAfter)
			Expect(startedAt).To(HaveKey(job))
			Expect(startedAt[job].Sub(accepted)).To(BeNumerically("<", lostAfter))
		}
		Expect(startedAt).NotTo(HaveKey("hopeless"))
		Expect(s.pool.Counts().Unadvised).To(BeNumerically(">", 1))
	})

	It("names refused workers again with pauses that grow while none is granted, and tells of it", func() {
		newPool(3)
		s.add(advised("hopeless"))
		var calls []time.Time
		for range 3000 {
			service.tick()
			for _, r := range s.plan().Advice {
				calls = append(calls, s.now)
				service.call(r)
			}
			s.advance(tick)
		}
		Expect(len(calls)).To(BeNumerically(">=", 5))
		answered := policy.DecideTime + 3*policy.PerWorker
		for i, pause := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
			Expect(calls[i+1].Sub(calls[i])).To(BeNumerically("~", answered+pause, 2*tick))
		}
		told := 0
		for _, e := range s.pool.TakeEvents() {
			if e.Kind == scheduler.AdviceRefused {
				told++
				Expect(e).To(SatisfyAll(HaveField("Task.Job", "hopeless"), HaveField("Number", int64(3))))
			}
		}
		Expect(told).To(Equal(len(calls) - 1))
	})

	It("names a worker at once that joins the pool, or has started again, after all were refused", func() {
		newPool(3)
		s.add(advised("j"))
		call := only(s.plan().Advice)
		s.pool.ApplyAdvice(call, scheduler.AdviceReply{SentAt: s.now, Answered: true}, s.now)
		Expect(s.plan().Advice).To(BeEmpty())
		again := worker(id(2))
		again.Incarnation = 2
		s.setWorkers(worker(id(1)), again, worker(id(3)), worker("new"))
		s.poll("new", nil)
		sent := s.now
		s.advance(time.Millisecond)
		s.pool.ApplyPoll(scheduler.PollReply{Worker: id(2), SentAt: sent, ReceivedAt: s.now, Incarnation: 2, Clock: s.clock})
		s.setWorkers(worker(id(1)), again, worker(id(3)), worker("new"))
		Expect(only(s.plan().Advice).Workers).To(ConsistOf("new", id(2)))
	})

	// A gang waited until the tickets of its first call had run out, and then had too few again.
	It("starts a gang that needs the workers that several calls grant", func() {
		var allowed []int
		for i := 25; i <= 100; i += 5 {
			allowed = append(allowed, i)
		}
		newPool(100, allowed...)
		gang := gangJob("gang", len(allowed))
		gang.Steps[0].MaxPerWorker = 1
		gang.Advice = &policy
		s.add(gang)
		pass(lostAfter)
		Expect(startedAt).To(HaveKey("gang"))
	})
})
