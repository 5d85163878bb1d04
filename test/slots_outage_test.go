package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/load"
	standin "persimmonbay/internal/standin/platform"
)

// outageRequests at outageRate, per second, last longer than the lease of an
// entry's registration.
const (
	outageRequests = 240
	outageRate     = 20
)

var _ = Describe("slots in an outage of the store", func() {
	DescribeTable("go on being lent while no entry reaches it", func(faults standin.Faults) {
		f := startFleet("tags", 2, 3)
		f.configure(registryAnswers)
		f.expectServing()
		f.expectLentInOutage(faults)
	},
		Entry("that fails at once", standin.Faults{Outage: true}),
		Entry("that answers nothing", standin.Faults{Silent: true}),
	)

	// The restarted entry reads the records after the others, at a higher revision of
	// the store.
	It("go on being lent by all entries when one of them was restarted before", func() {
		f := startFleet("tags", 2, 3)
		f.configure(registryAnswers)
		f.expectServing()
		f.entries[2].kill()
		f.startEntry(2)
		f.entries[2], f.entries = f.entries[3], f.entries[:3]
		f.expectServing()
		f.expectLentInOutage(standin.Faults{Outage: true})
	})
})

// expectServing waits until each entry serves requests.
func (f *testFleet) expectServing() {
	GinkgoHelper()
	for i := range f.entries {
		Eventually(func() string { return get(f.callers(i) + "/tags/1").outcome }, patience).Should(Equal("completed"))
	}
}

// expectLentInOutage sets the faults of the platform and sends requests to all
// entries, which must all complete.
func (f *testFleet) expectLentInOutage(faults standin.Faults) {
	GinkgoHelper()
	setPlatformFaults(f, faults)
	plan := f.plan("inspectors", "normal", 8, outageRequests, outageRate)
	plan.Timeout = 10 * time.Second
	result := load.Run(context.Background(), plan)
	GinkgoWriter.Printf("outage: %d completed, %d refused, %d broken, p99 %v\n", result.Completed, result.Refused, result.Broken, result.Quantile(99))
	Expect(result.Completed).To(Equal(outageRequests))
}

// setPlatformFaults sets the faults that the stand-in platform injects.
func setPlatformFaults(f *testFleet, faults standin.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, f.platformURL()+"/standin/faults", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
}
