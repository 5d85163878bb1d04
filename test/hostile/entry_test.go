package hostile

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry", Serial, func() {
	for _, a := range attacks(http.MethodPost, "/tags/2", "tags.example") {
		It("outlives callers that send "+a.name, func() {
			e := startEntry(small)
			gather(e.callers, crowdSize, a).expectMet()
			Expect(e.forward()).To(Equal(http.StatusOK))
			Expect(e.status()).To(Equal(http.StatusOK))
			e.expectWithin(small)
		})
	}

	for _, a := range attacks(http.MethodPut, "/v1/configuration", "operators.example") {
		It("outlives strangers at the operators' address that send "+a.name, func() {
			e := startEntry(small)
			gather(e.operators, crowdSize, a).expectMet()
			Expect(e.forward()).To(Equal(http.StatusOK))
			Expect(e.status()).To(Equal(http.StatusOK))
			e.expectWithin(small)
		})
	}

	It("refuses a body over the limit before it has come", func() {
		e := startEntry(small)
		Expect(declare(e.callers, "/tags/2", "tags.example", legalBody+1)).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("outlives strangers at the peers' address", func() {
		e := startEntry(small)
		for _, a := range attacks(http.MethodPost, "/", "peers.example") {
			gather(e.peers, crowdSize/4, a)
		}
		Expect(e.forward()).To(Equal(http.StatusOK))
		e.expectWithin(small)
	})
})
