package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/scheduler"
)

var _ = Describe("a worker that left the list and does not answer, with ends that are not saved", func() {
	// The next owner would not wait for the worker, and start again what is done there.
	It("stays in the roster until they are saved", func() {
		s := newScene(worker("a"))
		s.add(batchJob("j", 1))
		run := only(s.startAll())
		s.poll("a", nil, endReport(run, scheduler.EndDone))
		items, _ := s.pool.ClaimUnsaved(10)
		s.pool.PollFailed("a", scheduler.NoResponse, s.now)
		s.setWorkers(worker("b"))
		s.advance(10 * time.Second) // all leases have expired
		s.plan()
		Expect(rosterIDs(s.pool.Roster(s.now))).To(ContainElement("a"))
		s.pool.Saved(items, 300)
		s.plan()
		Expect(rosterIDs(s.pool.Roster(s.now))).NotTo(ContainElement("a"))
	})
})

// rosterIDs returns the IDs of the workers in the roster.
func rosterIDs(r scheduler.WorkerRoster) []string {
	var ids []string
	for i := range r.Workers {
		ids = append(ids, r.Workers[i].ID)
	}
	return ids
}
