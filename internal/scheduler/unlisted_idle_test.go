package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an idle worker that left the list", func() {
	// An idle worker is not polled, so it never counted as silent. It stayed in the roster to
	// the end of the ownership, and the next owner waited for whatever might run there.
	It("leaves the roster too, once the leases there have ended", func() {
		s := newScene(worker("a"), worker("b"))
		s.plan()
		s.setWorkers(worker("b"))
		s.advance(timing.MaxRunLease + time.Second)
		s.plan() // from now on, no former owner orders anything
		s.plan()
		Expect(rosterIDs(s.pool.Roster(s.now))).To(ConsistOf("b"))
	})
})
