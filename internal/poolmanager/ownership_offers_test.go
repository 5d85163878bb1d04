package poolmanager

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
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

var _ = Describe("an owner that takes a pool over while one of its machines is claimed for a move", func() {
	// The claim was taken for the owner's own offer and deleted: tasks started on the machine,
	// and the move that was on its way ended them.
	It("leaves the claim, and starts nothing on the machine", func() {
		s := newOwnershipScene()
		value, err := poolstore.EncodeOffer(lending.Offer{Pool: sceneService, Target: "other"})
		Expect(err).NotTo(HaveOccurred())
		s.store.put(poolstore.OfferKey("m-a"), value, 0)
		o := s.own()
		_, offered, err := o.tryLoad(context.Background())
		Expect(err).NotTo(HaveOccurred())
		s.list(o, "a")
		s.poll(o, "a")
		Expect(o.writeRoster(context.Background())).To(Succeed())
		s.clock.Advance(10 * time.Second) // a former owner's orders and leases are over
		r := newCapacityReporter(o, offered)
		o.addJob("j", s.accept("j"), store.Item{}, s.clock.Now())
		for range 3 {
			o.pool.Plan(s.clock.Now(), s.clock.Now())
			s.clock.Advance(time.Second)
			Expect(r.step(context.Background())).To(Succeed())
		}
		Expect(s.store.has(poolstore.OfferKey("m-a"))).To(BeTrue())
		Expect(o.pool.Plan(s.clock.Now(), s.clock.Now()).Starts).To(BeEmpty())
	})
})
