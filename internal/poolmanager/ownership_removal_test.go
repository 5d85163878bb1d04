package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("what is kept of a job that is over", func() {
	ctx := context.Background()
	job, state, cancel := poolstore.JobKey(sceneService, "j"), poolstore.StateKey(sceneService, "j"), poolstore.CancelKey(sceneService, "j")
	var s *ownershipScene
	var t *poolOwnership

	// end writes that the job was cancelled, as an entry does, and returns the
	// revision.
	end := func() int64 {
		value, err := poolstore.EncodeState(&poolstore.SavedState{Queue: "checks", Progress: scheduler.Progress{State: scheduler.Cancelled}, EndedAt: s.clock.Now()})
		Expect(err).NotTo(HaveOccurred())
		s.store.put(cancel, nil, 0)
		return s.store.put(state, value, 0)
	}

	BeforeEach(func() { s = newOwnershipScene() })

	// The pool forgets a job whose submission the store still keeps: the next
	// owner but one finds it without progress and starts it anew.
	It("goes from the store when an earlier copy of the save, which left it there, was carried out late", func() {
		s.accept("j")
		t = s.load()
		s.list(t, "a")
		run := scheduler.RunReport{Task: scheduler.TaskID{Job: "j"}, Attempt: 1, Percent: 100}
		s.poll(t, "a", run)
		t.pool.Plan(s.clock.Now(), s.clock.Now())
		t.pool.CancelJob("j", end())
		s.store.loseNext(state)
		Expect(t.saveOnce(ctx)).To(BeFalse())
		s.poll(t, "a")
		t.pool.ApplyPoll(scheduler.PollReply{Worker: "a", SentAt: s.clock.Now(), ReceivedAt: s.clock.Now(), Incarnation: 1, Clock: s.millis, Ends: []scheduler.EndReport{{Number: 1, Task: run.Task, Attempt: 1, Kind: scheduler.EndStopped}}})
		s.store.carryOut()
		for range 3 {
			t.saveOnce(ctx)
			t.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		Expect(s.store.has(job)).To(BeFalse())
		Expect(s.store.has(cancel)).To(BeFalse())
		Expect(s.store.has(state)).To(BeTrue())
	})

	// The submission of a job stays without its progress, and looks like one that
	// has not begun.
	It("goes together with its progress", func() {
		s.accept("j")
		t = s.load()
		end()
		s.clock.Advance(2 * time.Minute)
		Expect(t.sweep(ctx)).To(Succeed())
		Expect(s.store.has(state)).To(BeFalse())
		Expect(s.store.has(job)).To(BeFalse())
		Expect(s.store.has(cancel)).To(BeFalse())
	})

	// A job whose progress has been removed is started all over.
	It("is not started by an owner that finds a submission without progress", func() {
		s.accept("j")
		s.store.remove(state)
		t = s.load()
		s.list(t, "a")
		s.poll(t, "a")
		Expect(t.writeRoster(ctx)).To(Succeed())
		Expect(t.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(BeEmpty())
	})

	// One job whose progress is gone keeps the progress of all others from being
	// kept.
	It("is forgotten when its progress was removed before its submission", func() {
		s.accept("j")
		s.accept("k")
		end()
		t = s.load()
		s.store.remove(state)
		t.pool.Plan(s.clock.Now(), s.clock.Now())
		t.pool.CancelJob("k", 0)
		for range 3 {
			t.saveOnce(ctx)
			t.pool.Plan(s.clock.Now(), s.clock.Now())
		}
		pending, _ := t.pool.SavePending()
		Expect(pending).To(BeFalse())
	})
})
