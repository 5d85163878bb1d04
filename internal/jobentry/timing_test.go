package jobentry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/ownership"
)

var _ = ginkgo.Describe("the time limits of a job entry", func() {
	// RunLease allows ownerGap between a lost owner's lease and the next owner's polls.
	ginkgo.It("have the weakest entry take over before the leases of the runs end", func() {
		members := []ownership.Member{{Name: "strong", Weight: 0.8}, {Name: "weak", Weight: 0.1}}
		wait := time.Duration(ownership.Patience("weak", members) * float64(takeOverAfter))
		Expect(wait).To(BeNumerically("<", ownerGap))
	})

	// Owners on 0.12 core sent many starts twice, as they read the answers after 150 ms:
	// half of a class's jobs missed their objective (small twin of the largest deployment).
	ginkgo.It("have a weak entry wait longer before it sends a start again", func() {
		Expect(startTimeoutOf(0.8)).To(Equal(150 * time.Millisecond))
		Expect(startTimeoutOf(0.4)).To(Equal(300 * time.Millisecond))
		Expect(startTimeoutOf(0.12)).To(Equal(orderTimeout))
		Expect(startTimeoutOf(0)).To(Equal(150*time.Millisecond), "not set")
	})
})
