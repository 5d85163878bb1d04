package poolmanager

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the time for which workers hold polls open", func() {
	// Owners on 0.12 core spent their processor on polls that nothing had ended for, while
	// jobs waited (small twin of the largest deployment, in a turn).
	DescribeTable("grows where polls would take more than a tenth of the processor", func(cores float64, workers int, want time.Duration) {
		s := newOwnershipScene()
		s.manager.weight = cores
		s.manager.timing.PollWait = 250 * time.Millisecond
		o := s.own()
		for i := range workers {
			o.pollers[fmt.Sprint("w-", i)] = &poller{}
		}
		Expect(o.pollWait()).To(BeNumerically("~", want, time.Millisecond))
	},
		Entry("a strong entry with few workers", 0.8, 77, 250*time.Millisecond),
		Entry("a strong entry with many workers", 0.8, 266, 465500*time.Microsecond),
		Entry("a small entry", 0.12, 60, 700*time.Millisecond),
		Entry("a small entry with a large pool", 0.12, 266, time.Second),
		Entry("an entry whose cores are not set", 0.0, 266, 250*time.Millisecond),
	)
})
