package poolmanager

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
)

var _ = Describe("an owner that loads the offers of the last one", func() {
	// The same failure as that of the pool's jobs: each failed page began the read anew,
	// and a pool whose store fails each fourth page of many offers never started.
	It("reads each page of offers once, whichever reads fail", func() {
		const offers = 60
		s := newOwnershipScene()
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: sceneService})
		Expect(err).NotTo(HaveOccurred())
		for i := range offers {
			s.store.put(poolstore.OfferKey(fmt.Sprintf("m-%02d", i)), value, 0)
		}
		s.store.pageSize, s.store.failPage = 5, 4
		o := s.own()
		var offered map[string]int64
		Eventually(func() (err error) {
			_, offered, err = o.tryLoad(context.Background())
			return err
		}).WithPolling(time.Millisecond).Should(Succeed())
		Expect(offered).To(HaveLen(offers))
		Expect(s.store.pages).To(BeNumerically("<=", 2*offers/s.store.pageSize+4))
	})
})
