package ledger_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// bubble runs body in fake time over a healthy run of several entries.
func bubble(body func(r *run, key request.Key)) {
	GinkgoHelper()
	bubbleOf(newRun(1), body)
}

// bubbleOf runs body in fake time over r.
func bubbleOf(r *run, body func(r *run, key request.Key)) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		r.start()
		body(r, newKey(rand.New(rand.NewPCG(1, 3))))
		time.Sleep(settling)
	})
}

// transfer is a keyed request that waits at most timeout.
func transfer(key request.Key, id string, timeout time.Duration) *request.Request {
	return &request.Request{ID: id, Service: runService, Team: runTeam, Key: key, Method: "POST", Path: "/transfers", Deadline: time.Now().Add(timeout)}
}

var _ = Describe("a claim", func() {
	It("is found again when the answer to its write was lost", func() {
		var claim request.Claim
		var err error
		bubble(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.lose = 1 })
			claim, err = r.ledgers["entry-1"].Claim(context.Background(), transfer(key, "first", 3*time.Second))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(claim.State).To(Equal(request.ClaimGranted))
	})

	It("is not granted once its deadline has passed, and its key is refused once the store answers", func() {
		var err error
		var later request.Claim
		bubble(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.slow = 800 * time.Millisecond })
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			_, err = r.ledgers["entry-1"].Claim(ctx, transfer(key, "first", 10*time.Millisecond))
			time.Sleep(30 * time.Second)
			later, _ = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "second", 5*time.Second))
		})
		Expect(problem.Is(err, problem.Timeout)).To(BeTrue(), "%v", err)
		Expect(later.State).To(Equal(request.ClaimRefused))
	})

	It("gives up no call to an owner because a caller was in a hurry", func() {
		var givenUp int
		bubble(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.slow = 100 * time.Millisecond })
			for _, l := range r.ledgers {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				_, _ = l.Claim(ctx, transfer(key, "first", 5*time.Millisecond))
				cancel()
			}
			time.Sleep(10 * time.Second)
			r.faults.change(func(f *faults) { givenUp = f.givenUp })
		})
		Expect(givenUp).To(BeZero()) // it would break the session that all calls share
	})

	It("says that this attempt did not run when the store is down", func() {
		var err error
		bubble(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.outage = true })
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = r.ledgers["entry-1"].Claim(ctx, transfer(key, "first", time.Second))
		})
		Expect(err).To(MatchError(ContainSubstring("this attempt did not run")))
	})

	It("is refused when the key has expired while it waited", func() {
		var err error
		bubble(func(r *run, key request.Key) {
			time.Sleep(request.KeyRetention + time.Millisecond)
			_, err = r.ledgers["entry-1"].Claim(context.Background(), transfer(key, "first", time.Second))
		})
		Expect(problem.Is(err, problem.Invalid)).To(BeTrue(), "%v", err)
	})

	It("is answered with the first answer, or with unknown when that was too large to keep", func() {
		for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 4 << 20} {
			var replay request.Claim
			bubble(func(r *run, key request.Key) {
				first := transfer(key, "first", time.Second)
				_, err := r.ledgers["entry-1"].Claim(context.Background(), first)
				Expect(err).NotTo(HaveOccurred())
				body := bytes.Repeat([]byte("flock "), size/6+1)[:size]
				r.ledgers["entry-1"].Complete(context.Background(), first, request.Result{Outcome: fleet.Completed, Answer: request.Answer{Status: 201, Body: body, Fields: []request.Field{{Name: "A", Value: "b"}}}})
				time.Sleep(time.Second)
				replay, _ = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "second", time.Second))
			})
			Expect(replay.State).To(Equal(request.ClaimReplay), fmt.Sprint(size))
			if size > 1<<20 {
				Expect(replay.Result.Outcome).To(Equal(fleet.Unknown))
				Expect(replay.Result.Err).To(MatchError(ContainSubstring("too large to keep")))
				continue
			}
			Expect(replay.Result.Outcome).To(Equal(fleet.Completed))
			Expect(replay.Result.Answer.Fields).To(Equal([]request.Field{{Name: "A", Value: "b"}}))
			Expect(bytes.Equal(replay.Result.Answer.Body, bytes.Repeat([]byte("flock "), size/6+1)[:size])).To(BeTrue(), fmt.Sprint(size))
		}
	})

	It("leaves a tombstone when refused, or the word is unknown", func() {
		var kept, lost request.Result
		var later request.Claim
		bubble(func(r *run, key request.Key) {
			l := r.ledgers["entry-1"]
			refusal := request.Result{Outcome: fleet.NotRun, Err: problem.New(problem.Overloaded, problem.StepAdmit, "", "shed")}
			first := transfer(key, "first", time.Second)
			_, err := l.Claim(context.Background(), first)
			Expect(err).NotTo(HaveOccurred())
			kept = l.Complete(context.Background(), first, refusal)
			later, _ = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "second", time.Second))

			second := transfer(newKey(rand.New(rand.NewPCG(1, 4))), "third", time.Second)
			_, err = l.Claim(context.Background(), second)
			Expect(err).NotTo(HaveOccurred())
			r.faults.change(func(f *faults) { f.outage = true })
			lost = l.Complete(context.Background(), second, refusal)
		})
		Expect(kept.Outcome).To(Equal(fleet.NotRun))
		Expect(later.State).To(Equal(request.ClaimRefused))
		Expect(lost.Outcome).To(Equal(fleet.Unknown))
	})
})
