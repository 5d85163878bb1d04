package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

// Review case 7 (LOST): after an outage so many steps asked for tickets at one time that
// each answer came when its tickets had run out, and the steps asked again for good.
var _ = Describe("a queue whose tasks need tickets of a slow advice service", func() {
	policy := scheduler.AdvicePolicy{DecideTime: 60 * time.Millisecond, PerWorker: 5 * time.Millisecond, TicketValidity: 3 * time.Second}
	var s *scene
	var service *adviceService
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	newPool := func(names ...string) {
		var workers []scheduler.WorkerInfo
		for _, id := range names {
			workers = append(workers, worker(id))
		}
		s = newScene(workers...)
		s.pool.SetShare(len(workers), 0)
		service = &adviceService{s: s, policy: policy, refuses: map[string]bool{"b": true}}
	}
	advised := func(id string, n int) scheduler.Submission {
		sub := batchJob(id, n)
		sub.Advice = &policy
		return sub
	}
	names := func(requests []scheduler.AdviceRequest) []string {
		var jobs []string
		for _, r := range requests {
			jobs = append(jobs, r.Job)
		}
		return jobs
	}
	granted := func(r scheduler.AdviceRequest, ids ...string) scheduler.AdviceReply {
		tickets := map[string]string{}
		for _, id := range ids {
			tickets[id] = "ticket"
		}
		return scheduler.AdviceReply{SentAt: s.now, Answered: true, Granted: tickets}
	}

	// play lets time pass in steps of 10 ms, with a job of two tasks of 0.5 s each interval.
	// It returns how long each job waited for its first start.
	play := func(waiting int, interval, length time.Duration) (waits []time.Duration) {
		const step = 10 * time.Millisecond
		acceptedAt, running, endsAt := map[string]time.Time{}, map[scheduler.TaskID]scheduler.StartOrder{}, map[scheduler.TaskID]time.Time{}
		accept := func() {
			id := fmt.Sprintf("j%03d", len(acceptedAt))
			acceptedAt[id] = s.now
			s.add(advised(id, 2))
		}
		for range waiting {
			accept()
		}
		for end, next := s.now.Add(length), s.now.Add(interval); s.now.Before(end); s.advance(step) {
			if !s.now.Before(next) && end.Sub(s.now) > 5*time.Second {
				accept()
				next = next.Add(interval)
			}
			service.tick()
			for _, id := range ids {
				var runs []scheduler.RunReport
				var ends []scheduler.EndReport
				for _, task := range slices.Collect(maps.Keys(running)) {
					switch o := running[task]; {
					case o.Worker != id:
					case s.now.Before(endsAt[task]):
						runs = append(runs, runReport(o))
					default:
						ends = append(ends, endReport(o, scheduler.EndDone))
						delete(running, task)
					}
				}
				s.poll(id, runs, ends...)
			}
			plan := s.plan()
			for _, o := range plan.Starts {
				running[o.Task], endsAt[o.Task] = o, s.now.Add(500*time.Millisecond)
				if at, waited := acceptedAt[o.Task.Job]; waited && o.Task.Index == 0 {
					waits = append(waits, s.now.Sub(at))
				}
				s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now)
			}
			for _, r := range plan.Advice {
				service.call(r)
			}
			s.save(400)
		}
		Expect(waits).To(HaveLen(len(acceptedAt)), "started jobs, of all that were accepted")
		return waits
	}

	It("starts all jobs after as many have gathered as the service answers in twice the validity of a ticket", func() {
		newPool(ids...)
		play(70, 150*time.Millisecond, 40*time.Second)
	})

	It("starts the first task of a calm queue as soon as the service has answered", func() {
		newPool(ids...)
		for _, wait := range play(0, time.Second, 15*time.Second) {
			Expect(wait).To(BeNumerically("<=", policy.DecideTime+8*policy.PerWorker+30*time.Millisecond))
		}
	})

	It("has one call on its way beside the one that is handled", func() {
		newPool(ids...)
		for i := range 10 {
			s.add(advised(fmt.Sprint("j", i), 1))
		}
		first := s.plan().Advice
		Expect(names(first)).To(Equal([]string{"j0", "j1"}))
		Expect(s.plan().Advice).To(BeEmpty())
		s.pool.ApplyAdvice(first[0], granted(first[0], "a"), s.now)
		plan := s.plan()
		Expect(startTexts(plan.Starts)).To(Equal([]string{"j0/0@a#1"}))
		Expect(names(plan.Advice)).To(Equal([]string{"j2"}))
	})

	It("sends one call at a time if the tickets of a second one would come too late", func() {
		newPool(ids...)
		slow := policy
		slow.DecideTime = 2 * time.Second
		for i := range 3 {
			sub := advised(fmt.Sprint("j", i), 1)
			sub.Advice = &slow
			s.add(sub)
		}
		Expect(s.plan().Advice).To(HaveLen(1))
	})

	It("goes on with other jobs after one has ended whose call is not answered", func() {
		newPool(ids...)
		s.add(advised("j0", 1))
		s.add(advised("j1", 1))
		s.add(advised("j2", 1))
		calls := s.plan().Advice
		Expect(calls).To(HaveLen(2))
		s.pool.CancelJob("j0", 300)
		s.save(400)
		s.plan()
		s.pool.ApplyAdvice(calls[0], granted(calls[0], "a"), s.now)
		Expect(names(s.plan().Advice)).To(Equal([]string{"j2"}))
	})

	It("asks for no tickets for a step whose tasks all run", func() {
		newPool(ids...)
		s.add(advised("j", 1))
		call := only(s.plan().Advice)
		s.pool.ApplyAdvice(call, granted(call, "a"), s.now)
		started := only(s.startAll())
		s.advance(policy.TicketValidity)
		s.poll("a", []scheduler.RunReport{runReport(started)})
		Expect(s.plan().Advice).To(BeEmpty())
	})

	It("asks for a step that has room before one that has none, which asks when no other call is on its way", func() {
		newPool("a")
		s.add(batchJob("full", 16))
		Expect(s.startAll()).To(HaveLen(16))
		s.add(advised("j0", 1))
		s.add(advised("j1", 1))
		plan := s.plan()
		Expect(names(plan.Advice)).To(Equal([]string{"j0"}))
		s.setWorkers(worker("a"), worker("c"))
		s.poll("c", nil)
		Expect(names(s.plan().Advice)).To(Equal([]string{"j1"}))
	})

	It("pauses for all steps after a call without an answer, longer after each further one", func() {
		newPool(ids...)
		for i := range 4 {
			s.add(advised(fmt.Sprint("j", i), 1))
		}
		for _, pause := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second} {
			calls := s.plan().Advice
			Expect(calls).To(HaveLen(2))
			for _, c := range calls {
				s.pool.ApplyAdvice(c, scheduler.AdviceReply{SentAt: s.now}, s.now)
			}
			s.advance(pause - time.Millisecond)
			Expect(s.plan().Advice).To(BeEmpty(), "before a pause of %v has ended", pause)
			s.advance(time.Millisecond)
		}
	})

	It("counts a ticket's age from the sending of the call, and its validity by the queue's policy where the answer states none", func() {
		newPool(ids...)
		s.add(advised("j", 1))
		call := only(s.plan().Advice)
		reply := granted(call, "a")
		s.advance(policy.TicketValidity)
		s.pool.ApplyAdvice(call, reply, s.now)
		Expect(s.plan().Starts).To(BeEmpty())
		s.poll("a", nil)
		s.add(advised("k", 1))
		for _, c := range s.plan().Advice {
			s.pool.ApplyAdvice(c, granted(c, "a"), s.now)
		}
		s.advance(policy.TicketValidity - 10*time.Millisecond)
		s.poll("a", nil)
		Expect(s.plan().Starts).NotTo(BeEmpty())
	})

	It("names all workers again once those that the service granted have left", func() {
		newPool("a", "b")
		s.add(advised("j", 1))
		call := only(s.plan().Advice)
		s.pool.ApplyAdvice(call, granted(call, "a"), s.now)
		s.advance(policy.TicketValidity)
		left := worker("a")
		left.Draining = true
		s.setWorkers(left, worker("b"))
		s.poll("b", nil)
		Expect(s.plan().Advice).To(BeEmpty())
		s.advance(time.Second)
		s.poll("b", nil)
		Expect(only(s.plan().Advice).Workers).To(Equal([]string{"b"}))
	})

	It("does not name workers again that the service has refused for the step, while it granted others", func() {
		newPool(ids...)
		s.add(advised("j", 1))
		call := only(s.plan().Advice)
		Expect(call.Workers).To(HaveLen(8))
		s.pool.ApplyAdvice(call, granted(call, "a", "c"), s.now)
		s.advance(policy.TicketValidity)
		s.poll("a", nil)
		Expect(only(s.plan().Advice).Workers).To(Equal([]string{"a", "c"}))
	})
})
