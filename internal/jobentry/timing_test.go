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
})
