package test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeHeaderBytes exceeds the largest request header that an entry accepts.
const largeHeaderBytes = 100 << 10

var _ = Describe("an entry's size limits", func() {
	It("refuse a request header that is too large", func() {
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
