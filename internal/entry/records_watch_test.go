package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the watch of the records", func() {
	// With calls of a third of the fence, a regular confirmation was up to 0.83 of the fence old;
	// with a fence of 3 s, delays of half a second made an entry refuse all requests.
	ginkgo.It("leaves half of the fence for delays of its calls", func() {
		for _, fence := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second, 2 * time.Minute} {
			e, _ := newTestEntry()
			e.settings.Maintenance.Fence = fence
			regular := 2*e.control.watchRecords().Wait + fence/batchingFenceDivisor
			Expect(regular).To(BeNumerically("<=", fence/2), fence.String())
		}
	})
})
