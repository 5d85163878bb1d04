package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a new owner", func() {
	It("takes over what runs, and starts older jobs only once every worker has answered", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.addSaved(tasks("old", 2), token-1, scheduler.Progress{})
		s.add(tasks("new", 1))
		Expect(only(s.startAll()).Task.Job).To(Equal("new"))
		s.poll("b", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "old", Index: 1}, Attempt: 3, Percent: 100}})
		Expect(only(s.startAll()).Task).To(Equal(scheduler.TaskID{Job: "old"}))
	})

	It("gives what it took over the time that the earlier owner granted", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(tasks("j", 1), token-1, scheduler.Progress{})
		s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}})
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		s.pass(timing.RunLease)
		Expect(s.startAll()).To(BeEmpty())
		s.pass(time.Second)
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("waits for workers of the roster that the platform does not list, until their leases have ended", func() {
		s := newScene(worker("a"))
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(tasks("old", 1), token-1, scheduler.Progress{})
		s.pass(6 * time.Second)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.pass(time.Second)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	// scale-1 of the Registry, seed 998475117353: three owners in a row each
	// waited in full for the same dead workers, while a lasting task stood still.
	It("holds back only the tasks that run on workers known to be down", func() {
		first := newScene(worker("a"), worker("b"))
		first.add(tasks("j", 2))
		started := first.startAll()
		Expect(started[0].Worker).To(Equal("a"))
		first.poll("a", []scheduler.RunReport{runs(started[0]), runs(started[1])})
		first.pool.PollFailed("a", scheduler.Unanswered, first.now)
		roster := first.pool.Roster(first.now)

		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("b"))
		s.poll("b", nil)
		other := tasks("k", 1)
		s.addSaved(tasks("j", 2), token-1, scheduler.Progress{})
		s.addSaved(other, token-1, scheduler.Progress{})
		free := only(s.startAll())
		Expect(names([]scheduler.StartOrder{free})).To(Equal([]string{"k/0@b#1001"}))
		s.pass(timing.FormerOwnerLease + timing.RunLease + time.Second)
		s.poll("b", []scheduler.RunReport{runs(free)})
		Expect(names(s.startAll())).To(Equal([]string{"j/0@b#1001", "j/1@b#1001"}))
	})

	// inc-20, overlap simulation, seed 800106: the owner was lost before it had kept
	// an end of a worker that was down by then, and the task started again.
	It("holds back the tasks whose ends the earlier owner had seen, and not kept, on workers that are down", func() {
		first := newScene(worker("a"), worker("b"))
		first.add(tasks("j", 1))
		started := only(first.startAll())
		Expect(started.Worker).To(Equal("a"))
		first.poll("a", nil, ended(started, scheduler.EndDone))
		first.pool.PollFailed("a", scheduler.Unanswered, first.now)
		roster := first.pool.Roster(first.now)
		first.save(300)
		kept := first.pool.Roster(first.now)

		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.addSaved(tasks("j", 1), token-1, scheduler.Progress{})
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, ended(started, scheduler.EndDone))
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
		Expect(kept.Workers[0].Tasks).To(BeEmpty(), "an end that is kept holds nothing back")
	})

	// inc-20: the next incarnation of a worker knows no fencing token, so an earlier owner
	// that is still at work can start tasks there.
	It("waits for workers that start again, as long as an earlier owner may order", func() {
		s := newScene(worker("a"), worker("b"))
		s.plan()
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next, worker("b"))
		s.addSaved(tasks("old", 1), token-1, scheduler.Progress{})
		Expect(s.startAll()).To(BeEmpty())
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		Expect(s.startAll()).To(HaveLen(1))
	})

	// A pool with a lasting task on a machine that leaves was planned every
	// millisecond until the last worker had answered.
	It("plans nothing for a past time while it waits for workers", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.pass(timing.StopTimeout + time.Second)
		next := s.plan().Next
		Expect(next.IsZero() || next.After(s.now)).To(BeTrue())
	})

	It("does not wait for the time of an earlier owner that has released the pool", func() {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Released: true, Quiet: true, Workers: []scheduler.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(tasks("j", 1), token-1, scheduler.Progress{})
		s.pass(timing.RunLease + 400*time.Millisecond)
		s.poll("a", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})

	// chain has an owner release the pool some time after it has taken it over, and
	// returns whether the next owner starts older jobs once the time that the last
	// one granted is over.
	chain := func(roster scheduler.WorkerRoster, kept time.Duration) bool {
		roster.Workers = []scheduler.RosterWorker{{ID: "gone"}}
		s := newScene()
		s.pool = scheduler.NewPool("tags", token-1, timing, roster, s.now)
		s.pass(kept)
		roster = s.pool.Roster(s.now)
		roster.Released = true
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(tasks("j", 1), token-1, scheduler.Progress{})
		s.pass(timing.RunLease + 400*time.Millisecond)
		s.poll("a", nil)
		started := len(s.startAll()) > 0
		s.pass(timing.FormerOwnerLease)
		s.poll("a", nil)
		Expect(started || len(s.startAll()) > 0).To(BeTrue())
		return started
	}

	// The owner before the last has lost the pool early and orders on: a task that
	// it started runs twice.
	It("waits for the time of the owner before, if the last one released the pool at once", func() {
		Expect(chain(scheduler.WorkerRoster{}, time.Second)).To(BeFalse())
		Expect(chain(scheduler.WorkerRoster{Released: true}, time.Second)).To(BeFalse())
	})

	// Each hand-over of a roll-out holds older jobs up as if an owner were lost.
	It("does not wait for the time of owners that cannot order any more", func() {
		Expect(chain(scheduler.WorkerRoster{}, timing.FormerOwnerLease)).To(BeTrue())
		Expect(chain(scheduler.WorkerRoster{Released: true, Quiet: true}, 0)).To(BeTrue())
	})

	// What the last owner was told of the owner before is lost with it.
	It("hands on all that it was told, until it is settled", func() {
		told := scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "down", Machine: "m-down", Down: true, Tasks: []scheduler.TaskID{{Job: "j"}}}, {ID: "gone", Machine: "m-gone"}}}
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, told, s.now)
		s.setWorkers(worker("a"))
		Expect(s.pool.Roster(s.now).Workers).To(ConsistOf(append(told.Workers, scheduler.RosterWorker{ID: "a", Machine: "m-a"})))
		s.poll("a", nil)
		s.plan()
		Expect(s.pool.Roster(s.now).Workers).To(ConsistOf(append(told.Workers, scheduler.RosterWorker{ID: "a", Machine: "m-a"})))
	})

	It("uses no attempt that an earlier owner may have used", func() {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Tenure: 2}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(tasks("old", 1), token-1, scheduler.Progress{})
		Expect(only(s.startAll()).Attempt).To(Equal(2001))
		s.add(tasks("new", 1))
		Expect(only(s.startAll()).Attempt).To(Equal(1))
	})

	It("starts nothing on a worker that the roster calls down, until the roster is kept anew", func() {
		s := newScene(worker("a"))
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		s.pool.RosterSaved(s.pool.Roster(s.now))
		s.pass(time.Second)
		s.poll("a", nil)
		s.add(tasks("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.RosterSaved(s.pool.Roster(s.now))
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("has what is left of jobs that are over removed, and starts nothing of them", func() {
		s := newScene(worker("a"))
		s.addSaved(tasks("over", 1), token-1, scheduler.Progress{State: scheduler.Cancelled})
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["over"].Remove).To(BeTrue())
		s.plan()
		Expect(s.pool.HasJob("over")).To(BeTrue())
	})

	// trouble-3 of the Registry: the earlier owner's machines had moved to other
	// pools or were off, and their workers were waited for in vain.
	It("does not wait for workers whose machines run another life by now, or none", func() {
		s := newScene()
		roster := scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "a", Machine: "m-a"}, {ID: "gone", Machine: "m-gone"}}}
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.addSaved(tasks("j", 1), token-1, scheduler.Progress{})
		s.pool.PollFailed("a", scheduler.Unanswered, s.now)
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.pool.HasSilentWorkers()).To(BeTrue())
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b", "m-gone": "c"}, s.now, s.now)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
		s.setWorkers(worker("a"), worker("b"))
		Expect(s.pool.HasSilentWorkers()).To(BeFalse(), "a is listed for a while after its end")
	})

	It("stops runs of jobs that are over", func() {
		s := newScene(worker("a"))
		s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "over"}, Attempt: 1, Percent: 100}})
		Expect(only(s.plan().Stops).Task.Job).To(Equal("over"))
	})
})
