package test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry that reports ready", func() {
	It("completes a request sent to it at once, also right after the first configuration", func() {
		f := startFleet("tags", 9, 3)
		f.configure(registryAnswers) // its four services without an instance leave the entries ready
		for i := range f.entries {
			Eventually(func() int { return f.readiness(i) }, patience, "5ms").Should(Equal(http.StatusOK))
			a := get(f.callers(i) + "/tags/1")
			Expect(a.outcome).To(Equal("completed"), "%s", a.body)
		}
	})
})

// readiness returns the status of the i-th entry's readiness endpoint, which a
// balancer probes.
func (f *testFleet) readiness(i int) int {
	GinkgoHelper()
	response, err := http.Get("http://" + f.operator(i) + "/-/readyz")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	return response.StatusCode
}
