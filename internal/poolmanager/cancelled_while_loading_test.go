package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
)

var _ = Describe("a job that is cancelled while its pool is loaded", func() {
	// A load may take many times as long as the users' bound on starts after a
	// cancellation (cancel_ms, 3 s).
	It("is not started before the owner has read the changes since the load began", func() {
		s := newOwnershipScene()
		s.accept("job-0")
		s.accept("job-1")
		o := s.own()
		s.store.pageSize, s.store.pages = 1, 0
		s.store.failPage = 5 // after the offers, two pages of the jobs, and the first of the states
		_, _, err := o.tryLoad(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(o.loading.states.items).To(HaveLen(1))
		state, err := poolstore.EncodeState(&poolstore.JobProgress{Queue: "checks", Progress: scheduler.Progress{State: scheduler.Cancelled}})
		Expect(err).NotTo(HaveOccurred())
		s.store.put(poolstore.StateKey(sceneService, "job-0"), state, 0)
		s.store.put(poolstore.CancelKey(sceneService, "job-0"), nil, 0)
		s.clock.Advance(20 * time.Second)
		s.store.failPage = 0
		_, _, err = o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		s.list(o, "a")
		s.poll(o, "a")
		o.pool.RosterSaved(o.pool.Roster(s.clock.Now()))
		for _, start := range o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts { // as planLoop does at once
			Expect(start.Task.Job).NotTo(Equal("job-0"))
		}
	})
})
