package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/request"
)

// atOnce is how many claims come together in these specs.
const atOnce = 200

// callGap is a time after which nothing gathers for a call any more.
const callGap = 2 * time.Millisecond

// stranger returns an entry that owns no shard.
func stranger(r *run) string {
	owners := map[string]bool{}
	for i := range ledger.DefaultOptions("").Shards {
		owners[ledger.Owner(i, r.entries)] = true
	}
	for _, id := range r.entries {
		if !owners[id] {
			return id
		}
	}
	panic("every entry owns a shard")
}

// claimAll has l claim and finish atOnce new keys together and returns how
// many were granted.
func claimAll(l request.Ledger) int {
	random := rand.New(rand.NewPCG(1, 7))
	granted := make(chan bool, atOnce)
	var all sync.WaitGroup
	for i := range atOnce {
		attempt := transfer(newKey(random), fmt.Sprint(i), 5*time.Second)
		all.Go(func() {
			claim, err := l.Claim(context.Background(), attempt)
			granted <- err == nil && claim.State == request.ClaimGranted
			l.Complete(context.Background(), attempt, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 201}})
		})
	}
	all.Wait()
	close(granted)
	n := 0
	for g := range granted {
		if g {
			n++
		}
	}
	return n
}

var _ = Describe("forwarding", func() {
	It("groups the claims and outcomes that wait for one owner", func() {
		var granted int
		var calls, forwarded uint64
		bubble(func(r *run, _ request.Key) {
			l := r.ledgers[stranger(r)]
			granted = claimAll(l)
			Expect(l.Close(context.Background())).To(Succeed())
			calls, forwarded = l.Counters().Get("forwardCalls"), l.Counters().Get("forwarded")
		})
		Expect(granted).To(Equal(atOnce))
		Expect(forwarded).To(BeEquivalentTo(2 * atOnce))
		Expect(calls).To(BeNumerically("<", atOnce/10))
	})

	It("of a claim takes one write and two hops, also right after another", func() {
		const storeWrite, hop = 2 * time.Millisecond, peerLatency
		var took []time.Duration
		paced := newRun(1)
		paced.interval = ledger.DefaultOptions("").Interval
		bubbleOf(paced, func(r *run, _ request.Key) {
			random := rand.New(rand.NewPCG(1, 8))
			claimAll(r.ledgers[stranger(r)]) // loads the log
			time.Sleep(time.Second)
			for i := range 10 {
				began := time.Now()
				claim, err := r.ledgers[stranger(r)].Claim(context.Background(), transfer(newKey(random), fmt.Sprint(i), 5*time.Second))
				Expect(err).NotTo(HaveOccurred())
				Expect(claim.State).To(Equal(request.ClaimGranted))
				took = append(took, time.Since(began))
				time.Sleep(callGap)
			}
		})
		for _, t := range took {
			Expect(t).To(BeNumerically("<=", storeWrite+2*hop), "%v", took)
		}
	})

	It("grants by itself all that waited for an owner that cannot be reached", func() {
		var granted int
		bubble(func(r *run, _ request.Key) {
			id := stranger(r)
			r.faults.change(func(f *faults) { f.cut[id] = true })
			granted = claimAll(r.ledgers[id])
		})
		Expect(granted).To(Equal(atOnce))
	})
})
