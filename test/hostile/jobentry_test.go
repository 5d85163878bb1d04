package hostile

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a job entry", Serial, func() {
	for _, a := range attacks(http.MethodPost, "/checks/00000000000000b2", queueHost) {
		It("outlives callers that send "+a.name, func() {
			e := startJobEntry(small)
			gather(e.callers, crowdSize, a).expectMet()
			Expect(e.submit()).To(Equal(http.StatusOK))
			Expect(e.ready()).To(Equal(http.StatusOK))
			e.expectWithin(small)
		})

		It("outlives probes that send "+a.name, func() {
			e := startJobEntry(small)
			gather(e.readiness, crowdSize, a).expectMet()
			Expect(e.ready()).To(Equal(http.StatusOK))
			Expect(e.submit()).To(Equal(http.StatusOK))
			e.expectWithin(small)
		})
	}

	It("serves a single request with the largest legal head and body in calm", func() {
		e := startJobEntry(small)
		Expect(askWith(http.MethodPost, "http://"+e.callers+"/checks/00000000000000a1", queueHost, string(legalJSON(legalBody)),
			strings.Repeat("x", 15<<10))).To(Equal(http.StatusOK))
	})

	It("refuses a body over the limit as not run before it has come", func() {
		e := startJobEntry(small)
		Expect(declare(e.callers, "/checks/00000000000000b2", queueHost, legalBody+1)).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("outlives strangers at the peers' address", func() {
		e := startJobEntry(small)
		for _, a := range attacks(http.MethodPost, "/", queueHost) {
			gather(e.peers, crowdSize/4, a)
		}
		Expect(e.submit()).To(Equal(http.StatusOK))
		e.expectWithin(small)
	})
})
