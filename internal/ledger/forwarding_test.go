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

// concurrentClaims is the number of concurrent claims in these specs.
const concurrentClaims = 200

// callInterval is the time after which the next operation is forwarded at once. It
// equals the ledger's callInterval.
const callInterval = 2 * time.Millisecond

// nonOwner returns an entry that owns no shard.
func nonOwner(r *run) string {
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

// claimAll claims and completes concurrentClaims new keys concurrently through l
// and returns the number of granted claims.
func claimAll(l request.Ledger) int {
	random := rand.New(rand.NewPCG(1, 7))
	granted := make(chan bool, concurrentClaims)
	var all sync.WaitGroup
	for i := range concurrentClaims {
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
	It("sends the claims and outcomes that wait for one owner in few calls", func() {
		var granted int
		var calls, forwarded uint64
		runInFakeTime(func(r *run, _ request.Key) {
			l := r.ledgers[nonOwner(r)]
			granted = claimAll(l)
			Expect(l.Close(context.Background())).To(Succeed())
			calls, forwarded = l.Counters().Get("forwardCalls"), l.Counters().Get("forwarded")
		})
		Expect(granted).To(Equal(concurrentClaims))
		Expect(forwarded).To(BeEquivalentTo(2 * concurrentClaims))
		Expect(calls).To(BeNumerically("<", concurrentClaims/10))
	})

	It("of a claim takes one store write and two hops, also shortly after another", func() {
		const storeWrite, hop = 2 * time.Millisecond, peerLatency
		var took []time.Duration
		paced := newRun(1)
		paced.interval = ledger.DefaultOptions("").Interval
		runInFakeTimeWith(paced, func(r *run, _ request.Key) {
			random := rand.New(rand.NewPCG(1, 8))
			claimAll(r.ledgers[nonOwner(r)]) // loads the log
			time.Sleep(time.Second)
			for i := range 10 {
				began := time.Now()
				claim, err := r.ledgers[nonOwner(r)].Claim(context.Background(), transfer(newKey(random), fmt.Sprint(i), 5*time.Second))
				Expect(err).NotTo(HaveOccurred())
				Expect(claim.State).To(Equal(request.ClaimGranted))
				took = append(took, time.Since(began))
				time.Sleep(callInterval)
			}
		})
		for _, t := range took {
			Expect(t).To(BeNumerically("<=", storeWrite+2*hop), "%v", took)
		}
	})

	It("falls back to claims by the entry itself when the owner cannot be reached", func() {
		var granted int
		runInFakeTime(func(r *run, _ request.Key) {
			id := nonOwner(r)
			r.faults.change(func(f *faults) { f.cutOff[id] = true })
			granted = claimAll(r.ledgers[id])
		})
		Expect(granted).To(Equal(concurrentClaims))
	})
})
