package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a turn of short jobs in which a few start orders get no answer", func() {
	const (
		lostEvery  = 31 // one of so many orders never reaches its worker
		answerTime = 5 * time.Millisecond
		taskTime   = 640 * time.Millisecond
		jobs       = 60
		jobGap     = 10 * time.Millisecond
	)

	// One of 31 orders without an answer delayed every third job of 12 tasks by 1.4 s, and
	// kept other tasks from its worker for 300 ms (bench, trouble-1 of the grown Registry).
	It("finishes every job within its objective", func() {
		var workers []scheduler.WorkerInfo
		for i := range 60 {
			workers = append(workers, worker(fmt.Sprint("w", i)))
		}
		s := newScene(workers...)
		begun := s.now
		running := map[string][]scheduler.StartOrder{} // by worker
		endsAt := map[scheduler.TaskID]time.Time{}
		var unanswered []scheduler.StartOrder
		ended := map[string]time.Duration{}
		orders, added := 0, 0
		for len(ended) < jobs && s.now.Before(begun.Add(10*time.Second)) {
			if added < jobs && !s.now.Before(begun.Add(time.Duration(added)*jobGap)) {
				s.add(batchJob(fmt.Sprint("job-", added), 12))
				added++
			}
			for _, o := range s.plan().Starts {
				if orders++; orders%lostEvery == 0 {
					unanswered = append(unanswered, o)
					continue
				}
				s.pool.StartAnswered(o, scheduler.Accepted, s.clock, s.now.Add(answerTime))
				running[o.Worker] = append(running[o.Worker], o)
				endsAt[o.Task] = s.now.Add(taskTime)
			}
			waiting := unanswered[:0]
			for _, o := range unanswered {
				if s.now.Before(o.SentAt.Add(o.Timeout)) {
					waiting = append(waiting, o)
					continue
				}
				s.pool.StartAnswered(o, scheduler.NoResponse, 0, s.now)
			}
			unanswered = waiting
			for _, w := range workers {
				var ends []scheduler.EndReport
				var runs []scheduler.RunReport
				going := running[w.ID][:0]
				for _, o := range running[w.ID] {
					if s.now.Before(endsAt[o.Task]) {
						going = append(going, o)
						runs = append(runs, runReport(o))
					} else {
						ends = append(ends, endReport(o, scheduler.EndDone))
					}
				}
				running[w.ID] = going
				if len(ends) > 0 {
					s.poll(w.ID, runs, ends...)
				}
			}
			for id, saved := range s.save(token + 1) {
				if saved.Progress.State == scheduler.Completed {
					ended[id] = saved.EndedAt.Sub(saved.AcceptedAt)
				}
			}
			s.advance(answerTime)
		}
		Expect(ended).To(HaveLen(jobs))
		objective := time.Duration(1.6*float64(taskTime)) + 600*time.Millisecond
		for id, took := range ended {
			Expect(took).To(BeNumerically("<=", objective), id)
		}
	})

	It("goes on with starts on a worker that left one order unanswered", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		s.pool.StartAnswered(only(s.plan().Starts), scheduler.NoResponse, 0, s.now)
		s.add(batchJob("k", 1))
		Expect(startTexts(s.plan().Starts)).To(Equal([]string{"k/0@a#1"}))
	})

	It("sends a start once more soon, and later copies only after longer times", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		first := only(s.plan().Starts)
		Expect(first.Timeout).To(Equal(timing.StartTimeout))
		s.advance(timing.StartTimeout)
		s.pool.StartAnswered(first, scheduler.NoResponse, 0, s.now)
		Expect(s.plan().Starts).To(BeEmpty(), "the first copy may have been carried out")
		s.poll("a", nil)
		second := only(s.plan().Starts)
		Expect(second.Timeout).To(Equal(timing.OrderTimeout))
		Expect(second.Attempt).To(Equal(first.Attempt))
		s.advance(timing.OrderTimeout)
		s.pool.StartAnswered(second, scheduler.NoResponse, 0, s.now)
		s.add(batchJob("k", 1))
		Expect(s.plan().Starts).To(BeEmpty(), "the worker is silent")
		s.poll("a", nil)
		Expect(startTexts(s.plan().Starts)).NotTo(ContainElement("j/0@a#1"), "too soon")
		s.advance(timing.OrderTimeout)
		Expect(startTexts(s.plan().Starts)).To(ContainElement("j/0@a#1"))
	})
})
