package ledger_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// claimTimesOut claims key through the ledger of entry with a timeout that is too
// short, and expects the claim to fail.
func claimTimesOut(r *run, entry string, key request.Key, timeout time.Duration) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := r.ledgers[entry].Claim(ctx, transfer(key, "hurried", timeout))
	Expect(err).To(MatchError(ContainSubstring("this attempt did not run")))
}

var _ = Describe("a claim that is given up", func() {
	It("causes later claims of its key to be refused if it is in the log, also after an outage of the store", func() {
		var later request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.outageAfterWrite = true })
			claimTimesOut(r, "entry-1", key, 200*time.Millisecond)
			time.Sleep(20 * time.Second)
			r.faults.change(func(f *faults) { f.outageAfterWrite, f.outage = false, false })
			time.Sleep(30 * time.Second)
			later, _ = r.ledgers["entry-4"].Claim(context.Background(), transfer(key, "second", 5*time.Second))
		})
		Expect(later.State).To(Equal(request.ClaimRefused))
	})

	It("leaves its key free to be claimed if it was never written to the log", func() {
		var later request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.outage = true })
			claimTimesOut(r, "entry-1", key, 200*time.Millisecond)
			time.Sleep(settleTime)
			r.faults.change(func(f *faults) { f.outage = false })
			later, _ = r.ledgers["entry-4"].Claim(context.Background(), transfer(key, "second", 5*time.Second))
		})
		Expect(later.State).To(Equal(request.ClaimGranted))
	})

	It("does not affect the attempt that holds the key", func() {
		var after request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			first := transfer(key, "first", 40*time.Second)
			claim, err := r.ledgers["entry-1"].Claim(context.Background(), first)
			Expect(err).NotTo(HaveOccurred())
			Expect(claim.State).To(Equal(request.ClaimGranted))
			r.faults.change(func(f *faults) { f.maxDelay = 100 * time.Millisecond })
			for _, id := range r.entries {
				claimTimesOut(r, id, key, time.Millisecond)
			}
			time.Sleep(30 * time.Second)
			r.ledgers["entry-1"].Complete(context.Background(), first, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 201}})
			time.Sleep(5 * time.Second)
			after, err = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "after", 5*time.Second))
			Expect(err).NotTo(HaveOccurred())
		})
		Expect(after.State).To(Equal(request.ClaimReplay))
		Expect(after.Result.Answer.Status).To(Equal(201))
	})
})
