package work_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/work"
)

var _ = Describe("a pool", func() {
	It("starts, saves and completes a job, and forgets ends only once they are kept", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 2))
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.look("a", []work.RunRow{runs(started[1])}, ended(started[0], work.EndDone))
		Expect(s.pool.Saving("a")).To(BeTrue())
		req, _ := s.pool.LookFor("a", s.now)
		Expect(req.Observed).To(BeZero())
		Expect(s.save(201)["j"].Progress.State).To(Equal(work.Active))
		req, _ = s.pool.LookFor("a", s.now)
		Expect(req.Observed).To(BeEquivalentTo(1))
		s.look("a", nil, ended(started[1], work.EndDone))
		last := s.save(202)["j"]
		Expect(last.Progress.State).To(Equal(work.Completed))
		Expect(last.Remove).To(BeTrue())
		Expect(last.Revision).To(BeEquivalentTo(201))
	})

	// trouble-3 of the Registry: 0 jobs were said to wait, and 4 did.
	It("counts as begun only once a worker has taken a task", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.pool.Started(only(s.plan().Starts), work.NoRoom, s.clock, s.now)
		Expect(s.save(201)).To(BeEmpty())
		s.pass(time.Second)
		s.startAll()
		Expect(s.save(202)["j"].Progress.State).To(Equal(work.Active))
	})

	It("starts a step only after all tasks of the steps before it", func() {
		s := newScene(worker("a"))
		sub := tasks("j", 2)
		sub.Steps = append(sub.Steps, work.Step{Count: 1, Need: sub.Steps[0].Need, After: []int{0}})
		s.add(sub)
		started := s.startAll()
		Expect(started).To(HaveLen(2))
		s.look("a", []work.RunRow{runs(started[1])}, ended(started[0], work.EndDone))
		Expect(s.startAll()).To(BeEmpty())
		s.look("a", nil, ended(started[1], work.EndDone))
		Expect(only(s.startAll()).Task.Step).To(Equal(1))
	})

	It("keeps within a worker's capacity, counting what is being stopped", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 17))
		started := s.startAll()
		Expect(started).To(HaveLen(16))
		s.pool.Cancel("j", 300)
		s.add(tasks("k", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pass(time.Second)
		s.look("a", nil, ended(started[0], work.EndStopped))
		Expect(only(s.startAll()).Task.Job).To(Equal("k"))
	})

	// scale-2 of the Registry, seed 172926394782: the store had forgotten its
	// history, and what was read anew still held a job that had just ended.
	It("does not take up a job again that it has seen to its end", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.look("a", nil, ended(only(s.startAll()), work.EndDone))
		s.save(201)
		s.plan()
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
	})

	// trouble-2 of the Registry: the owner had kept three failures and was
	// stopped before the worker was told to forget their ends.
	It("counts a failed run once, though its end is listed to a later owner again", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.startAll())
		s.look(first.Worker, nil, ended(first, work.EndFailed))
		kept := s.save(201)["j"].Progress

		later := newScene(worker("a"), worker("b"))
		later.addKept(tasks("j", 1), token-1, kept)
		for n := range 3 {
			later.look(first.Worker, nil, work.EndRow{Number: 1, Task: first.Task, Attempt: first.Attempt, Kind: work.EndFailed})
			second := only(later.startAll())
			Expect(second.Attempt).To(Equal(n + 2))
			later.ends[second.Worker] = max(later.ends[second.Worker], 1)
			later.look(second.Worker, nil, ended(second, work.EndFailed))
		}
		Expect(later.save(301)["j"].Progress.State).To(Equal(work.Failed))
	})

	// trouble-2 of the Registry, seed 891246663373: the owner that handed over
	// had just ordered a stop, which takes a while.
	It("stops lasting tasks for a machine's sake only once an earlier owner's stops are over", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.addKept(lasting("j", 2), token-1, work.Progress{})
		s.pool.SetAsked(map[string]time.Time{"m-a": s.now}, nil)
		row := work.RunRow{Task: work.TaskID{Job: "j"}, Attempt: 1, Percent: 100}
		s.look("a", []work.RunRow{row})
		row.Task.Index = 1
		s.look("b", []work.RunRow{row})
		Expect(s.plan().Stops).To(BeEmpty())
		s.pass(timing.Stop + time.Second)
		Expect(only(s.plan().Stops).Worker).To(Equal("a"))
	})

	// A day of the Safety Cell (hunt-eef6-15): the other task's worker was dead,
	// and its lease had not ended yet.
	It("counts lasting tasks on a worker that does not answer as away", func() {
		s := newScene(worker("a"), worker("b"), worker("c"))
		s.add(lasting("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.look(o.Worker, []work.RunRow{runs(o)})
		}
		s.pass(timing.Stop + time.Second)
		s.pool.LookFailed(started[0].Worker, work.Unanswered, s.now)
		s.pool.SetAsked(map[string]time.Time{"m-" + started[1].Worker: s.now}, nil)
		Expect(s.plan().Stops).To(BeEmpty())
	})

	It("stops one lasting task at a time to empty machines", func() {
		s := newScene(worker("a"), worker("b"), worker("c"), worker("d"))
		s.add(lasting("j", 2))
		started := s.startAll()
		for _, o := range started {
			s.look(o.Worker, []work.RunRow{runs(o)})
		}
		s.pass(timing.Stop + time.Second)
		s.pool.SetAsked(map[string]time.Time{"m-" + started[0].Worker: s.now, "m-" + started[1].Worker: s.now}, nil)
		first := only(s.plan().Stops)
		s.pool.Stopped(first, work.Accepted, s.now)
		s.look(first.Worker, nil, work.EndRow{Task: first.Task, Attempt: first.Attempt, Kind: work.EndStopped})
		again := only(s.startAll())
		Expect(s.plan().Stops).To(BeEmpty(), "the first has not been seen at work")
		s.look(again.Worker, []work.RunRow{runs(again)})
		Expect(s.plan().Stops).To(HaveLen(1))
	})
})

var _ = Describe("an order without an answer", func() {
	It("is repeated at the same worker, under the same attempt", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.plan().Starts)
		s.pool.Started(first, work.Unanswered, 0, s.now)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(timing.Restart)
		again := only(s.plan().Starts)
		Expect(names([]work.StartOrder{again})).To(Equal(names([]work.StartOrder{first})))
		s.pool.Started(again, work.Accepted, s.clock, s.now)
		s.look("a", nil)
		s.look("b", nil)
	})

	// A calm day of the grown Registry: an owner short of CPU repeated a start
	// whose first copy had run and ended, and was told that it was too late.
	It("is not taken as never carried out because a repeat comes too late", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		first := only(s.plan().Starts)
		s.pool.Started(first, work.Unanswered, 0, s.now)
		s.pass(timing.Restart)
		s.pool.Started(only(s.plan().Starts), work.TooLate, s.clock, s.now)
		s.pass(time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty())
		s.look("a", nil, ended(first, work.EndDone))
		Expect(s.save(201)["j"].Progress.State).To(Equal(work.Completed))
	})

	It("keeps its room until the worker shows that it can no longer be carried out", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 16))
		for _, o := range s.plan().Starts {
			s.pool.Started(o, work.Unanswered, 0, s.now)
		}
		s.look("a", nil)
		s.add(tasks("k", 1))
		s.pass(400 * time.Millisecond)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(timing.Hold)
		s.look("a", nil)
		Expect(s.plan().Starts).To(HaveLen(16))
	})

	It("holds the task back while its worker does not answer, until the lease there has ended", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.startAll())
		s.pool.LookFailed(first.Worker, work.Unanswered, s.now)
		s.pass(timing.Hold)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(500 * time.Millisecond)
		second := only(s.plan().Starts)
		Expect(second.Worker).NotTo(Equal(first.Worker))
		Expect(second.Attempt).To(Equal(2))
	})
})

var _ = Describe("a new owner", func() {
	It("takes over what runs, and starts older jobs only once every worker has answered", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.addKept(tasks("old", 2), token-1, work.Progress{})
		s.add(tasks("new", 1))
		Expect(only(s.startAll()).Task.Job).To(Equal("new"))
		s.look("b", []work.RunRow{{Task: work.TaskID{Job: "old", Index: 1}, Attempt: 3, Percent: 100}})
		Expect(only(s.startAll()).Task).To(Equal(work.TaskID{Job: "old"}))
	})

	It("gives what it took over the time that the earlier owner granted", func() {
		s := newScene(worker("a"), worker("b"))
		s.addKept(tasks("j", 1), token-1, work.Progress{})
		s.look("a", []work.RunRow{{Task: work.TaskID{Job: "j"}, Attempt: 1, Percent: 100}})
		s.pool.LookFailed("a", work.Unanswered, s.now)
		s.pass(timing.Hold)
		Expect(s.startAll()).To(BeEmpty())
		s.pass(time.Second)
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("waits for workers of the roster that the platform does not list, until their leases have ended", func() {
		s := newScene(worker("a"))
		s.pool = work.NewPool("tags", token, timing, work.Roster{Workers: []work.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.look("a", nil)
		s.addKept(tasks("old", 1), token-1, work.Progress{})
		s.pass(6 * time.Second)
		s.look("a", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(time.Second)
		s.look("a", nil)
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	// scale-1 of the Registry, seed 998475117353: three owners in a row each
	// waited in full for the same dead workers, while a lasting task stood still.
	It("holds back only the tasks that run on workers known to be down", func() {
		first := newScene(worker("a"), worker("b"))
		first.add(tasks("j", 2))
		started := first.startAll()
		Expect(started[0].Worker).To(Equal("a"))
		first.look("a", []work.RunRow{runs(started[0]), runs(started[1])})
		first.pool.LookFailed("a", work.Unanswered, first.now)
		roster := first.pool.Roster()

		s := newScene()
		s.pool = work.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("b"))
		s.look("b", nil)
		other := tasks("k", 1)
		s.addKept(tasks("j", 2), token-1, work.Progress{})
		s.addKept(other, token-1, work.Progress{})
		free := only(s.startAll())
		Expect(names([]work.StartOrder{free})).To(Equal([]string{"k/0@b#1001"}))
		s.pass(timing.TakeOver + timing.Hold + time.Second)
		s.look("b", []work.RunRow{runs(free)})
		Expect(names(s.startAll())).To(Equal([]string{"j/0@b#1001", "j/1@b#1001"}))
	})

	It("does not wait for the time of an earlier owner that has released the pool", func() {
		s := newScene()
		s.pool = work.NewPool("tags", token, timing, work.Roster{Released: true, Workers: []work.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.look("a", nil)
		s.addKept(tasks("j", 1), token-1, work.Progress{})
		s.pass(timing.Hold + 400*time.Millisecond)
		s.look("a", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("uses no attempt that an earlier owner may have used", func() {
		s := newScene()
		s.pool = work.NewPool("tags", token, timing, work.Roster{Tenure: 2}, s.now)
		s.setWorkers(worker("a"))
		s.look("a", nil)
		s.addKept(tasks("old", 1), token-1, work.Progress{})
		Expect(only(s.startAll()).Attempt).To(Equal(2001))
		s.add(tasks("new", 1))
		Expect(only(s.startAll()).Attempt).To(Equal(1))
	})

	It("starts nothing on a worker that the roster calls down, until the roster is kept anew", func() {
		s := newScene(worker("a"))
		s.pool.LookFailed("a", work.Unanswered, s.now)
		s.pool.RosterKept(s.pool.Roster())
		s.pass(time.Second)
		s.look("a", nil)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.RosterKept(s.pool.Roster())
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("has what is left of jobs that are over removed, and starts nothing of them", func() {
		s := newScene(worker("a"))
		s.addKept(tasks("over", 1), token-1, work.Progress{State: work.Cancelled})
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["over"].Remove).To(BeTrue())
		s.plan()
		Expect(s.pool.Knows("over")).To(BeTrue())
	})

	// trouble-3 of the Registry: the earlier owner's machines had moved to other
	// pools or were off, and their workers were waited for in vain.
	It("does not wait for workers whose machines run another life by now, or none", func() {
		s := newScene()
		roster := work.Roster{Workers: []work.RosterWorker{{ID: "a", Machine: "m-a"}, {ID: "gone", Machine: "m-gone"}}}
		s.pool = work.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.look("b", nil)
		s.addKept(tasks("j", 1), token-1, work.Progress{})
		s.pool.LookFailed("a", work.Unanswered, s.now)
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.pool.Doubts()).To(BeTrue())
		s.pool.SetLives(map[string]string{"m-a": "", "m-b": "b", "m-gone": "c"})
		Expect(only(s.startAll()).Worker).To(Equal("b"))
		s.setWorkers(worker("a"), worker("b"))
		Expect(s.pool.Doubts()).To(BeFalse(), "a is listed for a while after its end")
	})

	It("stops runs of jobs that are over", func() {
		s := newScene(worker("a"))
		s.look("a", []work.RunRow{{Task: work.TaskID{Job: "over"}, Attempt: 1, Percent: 100}})
		Expect(only(s.plan().Stops).Task.Job).To(Equal("over"))
	})
})

var _ = Describe("a worker", func() {
	It("loses all its runs when it is reborn", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.startAll()
		s.pool.Looked(work.Look{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Born: 2, Clock: 1})
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	// Found by the simulation: a late start reached the worker's next life.
	It("that is reborn is told to refuse the starts whose answer was lost, before their tasks start elsewhere", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		first := only(s.plan().Starts)
		s.pool.Started(first, work.Unanswered, 0, s.now)
		s.pool.Looked(work.Look{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Born: 2, Clock: 1})
		plan := s.plan()
		Expect(plan.Starts).To(BeEmpty())
		s.pool.Stopped(only(plan.Stops), work.Accepted, s.now)
		s.pass(time.Millisecond)
		s.pool.Looked(work.Look{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Born: 2, Clock: 2})
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	// scale-1 of the grown Registry: a machine that was said to be empty crashed,
	// its next life got tasks, and the upkeep ended them.
	It("gets no new task on a machine that was said to be empty, or is offered, in its next life either", func() {
		s := newScene(worker("a"), worker("b"))
		s.pool.SetAsked(map[string]time.Time{"m-a": s.now}, map[string]bool{"m-a": true})
		s.pool.Offered([]string{"m-b"})
		nextA, nextB := worker("a2"), worker("b2")
		nextA.Machine, nextA.Born, nextB.Machine, nextB.Born = "m-a", 2, "m-b", 2
		s.setWorkers(nextA, nextB)
		s.look("a2", nil)
		s.look("b2", nil)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.Reclaim("m-b")
		Expect(only(s.startAll()).Worker).To(Equal("b2"))
	})

	It("gets no new task while it drains", func() {
		leaving := worker("a")
		leaving.Draining = true
		s := newScene(worker("a"))
		s.setWorkers(leaving)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
	})

	It("is left alone after failing tasks of several jobs in a row", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.add(tasks("k", 1))
		started := s.startAll()
		s.look("a", nil, ended(started[0], work.EndFailed), ended(started[1], work.EndFailed))
		Expect(s.startAll()).To(BeEmpty())
		s.pass(timing.Suspension)
		Expect(s.startAll()).To(HaveLen(2))
	})

	It("ends with the start of another life on its machine", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.startAll()
		next := worker("b")
		next.Machine, next.Born = "m-a", 2
		s.setWorkers(worker("a"), next)
		s.look("b", nil)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
	})

	// Days of the Registry (mix, seeds 1034025713845 and 54835174418): workers
	// that were gone for good were asked again and again, and each time counted
	// as granted more time.
	It("that is gone gets no more time by being asked", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		lost := only(s.startAll())
		s.setWorkers(worker("b"))
		for range 20 {
			req, due := s.pool.LookFor(lost.Worker, s.now)
			if due {
				Expect(req.Deadline == 0 || s.now.Sub(time.Unix(1_700_000_000, 0)) < time.Second).To(BeTrue())
				s.pool.LookFailed(lost.Worker, work.Unanswered, s.now)
			}
			s.pass(400 * time.Millisecond)
			s.look("b", nil)
		}
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	It("that does not answer frees its tasks once its machine runs no worker", func() {
		s := newScene(worker("a"), worker("b"))
		s.add(tasks("j", 1))
		lost := only(s.startAll())
		s.pool.LookFailed(lost.Worker, work.Unanswered, s.now)
		s.pool.SetLives(map[string]string{"m-a": "a", "m-b": "b"})
		Expect(s.startAll()).To(BeEmpty(), "it may be cut off and run on")
		s.pool.SetLives(map[string]string{"m-" + lost.Worker: ""})
		Expect(only(s.startAll()).Attempt).To(Equal(2))
	})

	It("that refuses the connection gets nothing until it has answered", func() {
		s := newScene(worker("a"))
		s.add(tasks("j", 1))
		s.pool.Started(only(s.plan().Starts), work.NotReached, 0, s.now)
		s.pass(time.Minute)
		Expect(s.plan().Starts).To(BeEmpty())
		s.look("a", nil)
		Expect(s.plan().Starts).To(HaveLen(1))
	})
})
