package test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeHeaderBytes is more than an entry takes.
const largeHeaderBytes = 100 << 10

var _ = Describe("bounds", func() {
	It("refuses a caller's header that is too large", func() {
		f := startFleet("tags", 0, 1)
		r, err := http.NewRequest(http.MethodGet, f.callers(0)+"/tags/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("X-Large", strings.Repeat("x", largeHeaderBytes))
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})
})
