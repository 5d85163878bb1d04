package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a new owner", func() {
	It("takes over the runs it finds, and starts older jobs only once every worker has answered", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.addSaved(batchJob("old", 2), token-1, scheduler.Progress{})
		s.add(batchJob("new", 1))
		Expect(only(s.startAll()).Task.Job).To(Equal("new"))
		s.poll("b", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "old", Index: 1}, Attempt: 3, Percent: 100}})
		Expect(only(s.startAll()).Task).To(Equal(scheduler.TaskID{Job: "old"}))
	})

	// The run may have begun on a start that was carried out late, by an incarnation that
	// took its deadline as far in the future.
	It("counts a run that it took over as going on until the longest lease of a former owner has expired", func() {
		s := newScene(worker("a"), worker("b"))
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.advance(5 * time.Second) // so that it isn't waited for as any former run is
		s.poll("b", nil)
		s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}})
		s.silent("a")
		s.advance(timing.MaxRunLease)
		s.poll("b", nil)
		Expect(s.startAll()).To(BeEmpty())
		s.advance(time.Second)
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("waits for workers of the roster that the platform does not list, until their leases have expired", func() {
		s := newScene(worker("a"))
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		s.advance(timing.FormerOwnerLease + timing.MaxRunLease)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(BeEmpty())
		s.advance(time.Second)
		s.poll("a", nil)
		Expect(s.plan().Starts).To(HaveLen(1))
	})

	// Three owners in a row each waited the whole time for the same dead workers, and a
	// long-running task did not run meanwhile (bench, scale-1 of the
	// Registry, seed 998475117353).
	It("holds back only the tasks that run on workers known to be down", func() {
		first := newScene(worker("a"), worker("b"))
		first.add(batchJob("j", 2))
		started := first.startAll()
		Expect(started[0].Worker).To(Equal("a"))
		first.poll("a", []scheduler.RunReport{runReport(started[0]), runReport(started[1])})
		first.pool.PollFailed("a", scheduler.NoResponse, first.now)
		roster := first.pool.Roster(first.now)

		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("b"))
		s.poll("b", nil)
		other := batchJob("k", 1)
		s.addSaved(batchJob("j", 2), token-1, scheduler.Progress{})
		s.addSaved(other, token-1, scheduler.Progress{})
		free := only(s.startAll())
		Expect(startTexts([]scheduler.StartOrder{free})).To(Equal([]string{"k/0@b#1001"}))
		s.advance(timing.FormerOwnerLease + timing.MaxRunLease + time.Second)
		s.poll("b", []scheduler.RunReport{runReport(free)})
		Expect(startTexts(s.startAll())).To(Equal([]string{"j/0@b#1001", "j/1@b#1001"}))
	})

	// Incident 20, overlap simulation, seed 800106: the owner was lost before it had
	// saved an end. The worker was down by then, and the task started again.
	It("holds back the tasks whose ends the former owner applied but did not save, on workers that are down", func() {
		first := newScene(worker("a"), worker("b"))
		first.add(batchJob("j", 1))
		started := only(first.startAll())
		Expect(started.Worker).To(Equal("a"))
		first.poll("a", nil, endReport(started, scheduler.EndDone))
		first.pool.PollFailed("a", scheduler.NoResponse, first.now)
		roster := first.pool.Roster(first.now)
		first.save(300)
		saved := first.pool.Roster(first.now)

		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		Expect(s.startAll()).To(BeEmpty())
		s.poll("a", nil, endReport(started, scheduler.EndDone))
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["j"].Progress.State).To(Equal(scheduler.Completed))
		Expect(saved.Workers[0].Tasks).To(BeEmpty(), "an end that is saved holds nothing back")
	})

	// Incident 20: the next incarnation of a worker knows no fencing token, so a former
	// owner that still works can start tasks there.
	It("waits for workers that restart, as long as a former owner may send orders", func() {
		s := newScene(worker("a"), worker("b"))
		s.plan()
		next := worker("a")
		next.Incarnation = 2
		s.setWorkers(next, worker("b"))
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		Expect(s.startAll()).To(BeEmpty())
		s.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.now, ReceivedAt: s.now, Incarnation: 2, Clock: 45})
		Expect(s.startAll()).To(HaveLen(1))
	})

	// A pool with a long-running task on a machine to be emptied was planned every
	// millisecond until the last worker had answered.
	It("schedules no plan for a past time while it waits for workers", func() {
		s := newScene(worker("a"))
		s.setWorkers(worker("a"), worker("b"))
		s.advance(timing.StopTimeout + time.Second)
		next := s.plan().Next
		Expect(next.IsZero() || next.After(s.now)).To(BeTrue())
	})

	It("does not wait for the lease of a former owner that has released the pool", func() {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Released: true, Quiet: true, Workers: []scheduler.RosterWorker{{ID: "gone"}}}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.advance(timing.MaxRunLease + 400*time.Millisecond)
		s.poll("a", nil)
		Expect(s.startAll()).To(HaveLen(1))
	})

	// startsAfterLease has an owner that found roster release the pool after ownedFor. It
	// returns whether the next owner starts older jobs as soon as the run leases that the
	// last one granted have expired.
	startsAfterLease := func(roster scheduler.WorkerRoster, ownedFor time.Duration) bool {
		roster.Workers = []scheduler.RosterWorker{{ID: "gone"}}
		s := newScene()
		s.pool = scheduler.NewPool("tags", token-1, timing, roster, s.now)
		s.advance(ownedFor)
		roster = s.pool.Roster(s.now)
		roster.Released = true
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.advance(timing.MaxRunLease + 400*time.Millisecond)
		s.poll("a", nil)
		started := len(s.startAll()) > 0
		s.advance(timing.FormerOwnerLease)
		s.poll("a", nil)
		Expect(started || len(s.startAll()) > 0).To(BeTrue())
		return started
	}

	// The owner before the last may have lost the pool unnoticed and still send orders: a
	// task that it starts would run twice.
	It("waits for the lease of the owner before the last, if the last one released the pool at once", func() {
		Expect(startsAfterLease(scheduler.WorkerRoster{}, time.Second)).To(BeFalse())
		Expect(startsAfterLease(scheduler.WorkerRoster{Released: true}, time.Second)).To(BeFalse())
	})

	// Otherwise each release of the pool in a roll-out delays older jobs as much as the
	// loss of an owner.
	It("does not wait for the lease of owners that can send no orders any more", func() {
		Expect(startsAfterLease(scheduler.WorkerRoster{}, timing.FormerOwnerLease)).To(BeTrue())
		Expect(startsAfterLease(scheduler.WorkerRoster{Released: true, Quiet: true}, 0)).To(BeTrue())
	})

	// If it is lost too, the next owner still needs what the first roster held.
	It("carries over all workers of the roster that it found, as long as a later owner may need them", func() {
		found := scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "down", Machine: "m-down", Down: true, Tasks: []scheduler.TaskID{{Job: "j"}}}, {ID: "gone", Machine: "m-gone"}}}
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, found, s.now)
		s.setWorkers(worker("a"))
		Expect(s.pool.Roster(s.now).Workers).To(ConsistOf(append(found.Workers, scheduler.RosterWorker{ID: "a", Machine: "m-a"})))
		s.poll("a", nil)
		s.plan()
		Expect(s.pool.Roster(s.now).Workers).To(ConsistOf(append(found.Workers, scheduler.RosterWorker{ID: "a", Machine: "m-a"})))
	})

	It("uses no attempt that a former owner may have used", func() {
		s := newScene()
		s.pool = scheduler.NewPool("tags", token, timing, scheduler.WorkerRoster{Tenure: 2}, s.now)
		s.setWorkers(worker("a"))
		s.poll("a", nil)
		s.addSaved(batchJob("old", 1), token-1, scheduler.Progress{})
		Expect(only(s.startAll()).Attempt).To(Equal(2001))
		s.add(batchJob("new", 1))
		Expect(only(s.startAll()).Attempt).To(Equal(1))
	})

	It("starts nothing on a worker that the roster names as down, until a later roster is saved", func() {
		s := newScene(worker("a"))
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.pool.RosterSaved(s.pool.Roster(s.now))
		s.advance(time.Second)
		s.poll("a", nil)
		s.add(batchJob("j", 1))
		Expect(s.startAll()).To(BeEmpty())
		s.pool.RosterSaved(s.pool.Roster(s.now))
		Expect(s.startAll()).To(HaveLen(1))
	})

	It("has the submissions of ended jobs removed, and starts none of their tasks", func() {
		s := newScene(worker("a"))
		s.addSaved(batchJob("over", 1), token-1, scheduler.Progress{State: scheduler.Cancelled})
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.save(300)["over"].Remove).To(BeTrue())
		s.plan()
		Expect(s.pool.HasJob("over")).To(BeTrue())
	})

	// The former owner's machines had moved to other pools or were off, and the owner
	// waited for their workers until the leases had expired (bench, trouble-3 of the
	// Registry).
	It("does not wait for workers whose machines run another worker by now, or none", func() {
		s := newScene()
		roster := scheduler.WorkerRoster{Workers: []scheduler.RosterWorker{{ID: "a", Machine: "m-a"}, {ID: "gone", Machine: "m-gone"}}}
		s.pool = scheduler.NewPool("tags", token, timing, roster, s.now)
		s.setWorkers(worker("a"), worker("b"))
		s.poll("b", nil)
		s.addSaved(batchJob("j", 1), token-1, scheduler.Progress{})
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		Expect(s.startAll()).To(BeEmpty())
		Expect(s.pool.HasSilentWorkers()).To(BeTrue())
		s.pool.SetMachineWorkers(map[string]string{"m-a": "", "m-b": "b", "m-gone": "c"}, s.now, s.now)
		Expect(only(s.startAll()).Worker).To(Equal("b"))
		s.setWorkers(worker("a"), worker("b"))
		Expect(s.pool.HasSilentWorkers()).To(BeFalse(), "a stays on the list for a while after its end")
	})

	It("stops runs of jobs that it does not know", func() {
		s := newScene(worker("a"))
		s.poll("a", []scheduler.RunReport{{Task: scheduler.TaskID{Job: "over"}, Attempt: 1, Percent: 100}})
		Expect(only(s.plan().Stops).Task.Job).To(Equal("over"))
	})
})
