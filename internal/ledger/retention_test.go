package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// Load of the run, which lasts several times the retention.
const (
	retentionClaims = 40 // per round
	retentionRounds = 55 // of a little more than a minute each
	steadyFrom      = 20 // the round from which the store must no longer grow
)

var _ = Describe("the retention", func() {
	It("bounds what the store holds, and no key within it is granted twice", func() {
		most := map[bool]int{} // the largest number of store keys before and from steadyFrom
		var segments, granted, again int
		runInFakeTime(func(r *run, _ request.Key) {
			random := rand.New(rand.NewPCG(1, 5))
			var keys []request.Key
			for round := range retentionRounds {
				for range retentionClaims {
					key := newKey(random)
					keys = append(keys, key)
					granted += claimOnce(r, random, key)
					time.Sleep(200 * time.Millisecond)
				}
				for range 5 {
					again += claimOnce(r, random, keys[random.IntN(len(keys))])
				}
				time.Sleep(time.Minute)
				for _, l := range r.ledgers {
					l.DropIdle() // all shards are idle, so the next claims load the log
				}
				listing, err := r.store.List(context.Background(), "")
				Expect(err).NotTo(HaveOccurred())
				segments = 0
				for _, item := range listing.Items {
					if strings.Contains(item.Key, "/segment/") {
						segments++
					}
				}
				most[round >= steadyFrom] = max(most[round >= steadyFrom], len(listing.Items))
			}
		})
		fmt.Fprintf(GinkgoWriter, "largest number of store keys: %v, segments at the end: %d\n", most, segments)
		Expect(granted).To(Equal(retentionClaims * retentionRounds))
		Expect(again).To(BeZero())
		Expect(segments).To(BeNumerically(">", 2))
		Expect(most[true]).To(BeNumerically("<", most[false]*3/2))
	})
})

// claimOnce claims and completes key through a random entry. It returns the number
// of grants, 0 or 1.
func claimOnce(r *run, random *rand.Rand, key request.Key) int {
	l := r.ledgers[r.entries[random.IntN(len(r.entries))]]
	attempt := transfer(key, fmt.Sprint(random.Uint64()), time.Second)
	claim, err := l.Claim(context.Background(), attempt)
	if err != nil || claim.State != request.ClaimGranted {
		return 0
	}
	l.Complete(context.Background(), attempt, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 201}})
	return 1
}
