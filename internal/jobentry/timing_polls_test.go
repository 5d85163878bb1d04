package jobentry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the time limits of lease polls", func() {
	// The ends on a worker stay unseen, and its capacity unused, while a poll waits for a
	// reply that was lost (bench, trouble-1 of the grown Registry: 3.2% of the calls to
	// workers in a turn of tasks of 0.64 s with an objective of 0.6 s).
	ginkgo.It("in a turn in which some polls get no reply, hide ends on a worker for less than a second", func() {
		Expect(pollWait + orderTimeout).To(BeNumerically("<", time.Second))
	})
})
