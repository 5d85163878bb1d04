package ledger_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/request"
)

var _ = Describe("the list of keys in doubt", func() {
	It("is complete while segments are partly dropped", func() {
		var inDoubt []ledger.Record
		runInFakeTime(func(r *run, _ request.Key) {
			ctx, random := context.Background(), rand.New(rand.NewPCG(1, 9))
			for range 3 * ledger.FoldBatches {
				Expect(claimOnce(r, random, newKey(random))).To(Equal(1))
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(request.KeyRetention)
			Expect(dropParts(r)).NotTo(BeZero())
			_, err := r.ledgers["entry-1"].Claim(ctx, transfer(newKey(random), "doubtful", time.Second))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(2 * time.Second)
			inDoubt, err = r.ledgers["entry-2"].InDoubt(ctx)
			Expect(err).NotTo(HaveOccurred())
		})
		Expect(inDoubt).To(HaveLen(1))
	})
})

// dropParts deletes the values of all segments and leaves their indexes, like
// entries that are killed while they drop segments. It returns the number of
// deleted values.
func dropParts(r *run) int {
	GinkgoHelper()
	listing, err := r.store.List(context.Background(), "")
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, item := range listing.Items {
		if strings.Contains(item.Key, "/segment/") {
			Expect(r.store.Delete(context.Background(), item.Key, platform.Any())).To(Succeed())
			n++
		}
	}
	return n
}
