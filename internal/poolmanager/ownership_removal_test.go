package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("the stored data of a job that has ended", func() {
	ctx := context.Background()
	job, state, cancel := poolstore.JobKey(sceneService, "j"), poolstore.StateKey(sceneService, "j"), poolstore.CancelKey(sceneService, "j")
	var s *ownershipScene
	var o *poolOwnership

	// end stores the job's cancellation, as an entry that accepts it does, and returns
	// the revision.
	end := func() int64 {
		value, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: "checks", Progress: scheduler.Progress{State: scheduler.Cancelled}, EndedAt: s.clock.Now()})
		Expect(err).NotTo(HaveOccurred())
		s.store.put(cancel, nil, 0)
		return s.store.put(state, value, 0)
	}

	BeforeEach(func() { s = newOwnershipScene() })

	// The pool forgot a job whose submission was still stored: the owner after the
	// next found it without progress and started it again.
	It("is deleted from the store after an earlier copy of the save, without the deletes, was applied late", func() {
		s.accept("j")
		o = s.load()
		s.list(o, "a")
		run := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}
		s.poll(o, "a", run)
		o.pool.Plan(s.clock.Now(), s.clock.Now())
		o.pool.CancelJob("j", end())
		s.store.loseNextResponse(state)
		saved := o.saveOnce(ctx)
		Expect(saved).To(BeFalse())
		s.poll(o, "a")
		o.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.clock.Now(), ReceivedAt: s.clock.Now(), Incarnation: 1, Clock: s.millis, Ends: []scheduler.EndReport{{Number: 1, Task: run.Task, Attempt: 1, Kind: scheduler.EndStopped}}})
		s.store.applyDelayed()
		for range 3 {
			o.saveOnce(ctx)
			o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		Expect(s.store.has(job)).To(BeFalse())
		Expect(s.store.has(cancel)).To(BeFalse())
		Expect(s.store.has(state)).To(BeTrue())
	})

	// The submission of a job stayed in the store without its progress, like that of a
	// job that has not started.
	It("is deleted together with its progress", func() {
		s.accept("j")
		o = s.load()
		end()
		s.clock.Advance(2 * time.Minute)
		Expect(o.sweep(ctx)).To(Succeed())
		Expect(s.store.has(state)).To(BeFalse())
		Expect(s.store.has(job)).To(BeFalse())
		Expect(s.store.has(cancel)).To(BeFalse())
	})

	// A job whose progress had been deleted was started again.
	It("is not started by an owner that finds a submission without progress", func() {
		s.accept("j")
		s.store.remove(state)
		o = s.load()
		s.list(o, "a")
		s.poll(o, "a")
		Expect(o.writeRoster(ctx)).To(Succeed())
		Expect(o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(BeEmpty())
	})

	// One job whose progress was gone prevented the progress of all others from being
	// saved.
	It("is forgotten when its progress was deleted before its submission", func() {
		s.accept("j")
		s.accept("k")
		end()
		o = s.load()
		s.store.remove(state)
		o.pool.Plan(s.clock.Now(), s.clock.Now())
		o.pool.CancelJob("k", 0)
		for range 3 {
			o.saveOnce(ctx)
			o.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		pending, _ := o.pool.SavePending()
		Expect(pending).To(BeFalse())
	})
})
