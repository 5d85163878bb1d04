package ledger_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// complete claims key through the ledger of entry and completes it with an answer
// that has the given body.
func complete(r *run, entry string, key request.Key, body []byte) {
	GinkgoHelper()
	first := transfer(key, "first", 5*time.Second)
	claim, err := r.ledgers[entry].Claim(context.Background(), first)
	Expect(err).NotTo(HaveOccurred())
	Expect(claim.State).To(Equal(request.ClaimGranted))
	r.ledgers[entry].Complete(context.Background(), first, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 201, Body: body}})
}

var _ = Describe("a claim of a finished key", func() {
	It("is answered with a large first answer after its entry was killed and answers of the store were lost", func() {
		var replays []request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.lostShare = 0.5 })
			complete(r, "entry-1", key, make([]byte, 1<<20))
			time.Sleep(10 * time.Second)
			r.faults.change(func(f *faults) { f.killed["entry-1"] = true })
			for _, id := range r.entries[1:] {
				replay, err := r.ledgers[id].Claim(context.Background(), transfer(key, id, 5*time.Second))
				Expect(err).NotTo(HaveOccurred())
				replays = append(replays, replay)
			}
		})
		for _, replay := range replays {
			Expect(replay.Result.Outcome).To(Equal(fleet.Completed))
			Expect(replay.Result.Answer.Body).To(HaveLen(1 << 20))
		}
	})

	It("returns the error that the request ran to its end once when its large answer cannot be read or was removed", func() {
		var unread, gone request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			complete(r, "entry-1", key, make([]byte, 64<<10))
			time.Sleep(time.Second)
			listing, err := r.store.List(context.Background(), "persimmonbay/ledger/answers/")
			Expect(err).NotTo(HaveOccurred())
			Expect(listing.Items).To(HaveLen(1))
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r.faults.change(func(f *faults) { f.failAnswers = true })
			unread, _ = r.ledgers["entry-2"].Claim(ctx, transfer(key, "second", time.Second))
			r.faults.change(func(f *faults) { f.failAnswers = false })
			Expect(r.store.Delete(context.Background(), listing.Items[0].Key, platform.Any())).To(Succeed())
			gone, _ = r.ledgers["entry-2"].Claim(ctx, transfer(key, "third", time.Second))
		})
		for _, claim := range []request.Claim{unread, gone} {
			Expect(claim.State).To(Equal(request.ClaimReplay))
			Expect(claim.Result.Outcome).To(Equal(fleet.Unknown))
			Expect(claim.Result.Err).To(MatchError(ContainSubstring("ran to its end once")))
		}
		Expect(problem.Is(unread.Result.Err, problem.Unavailable)).To(BeTrue()) // a later repeat may succeed
		Expect(problem.Is(gone.Result.Err, problem.Conflict)).To(BeTrue())
	})
})
