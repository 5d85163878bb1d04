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

// runInFakeTime runs body in fake time on a run of several entries without faults.
func runInFakeTime(body func(r *run, key request.Key)) {
	GinkgoHelper()
	runInFakeTimeWith(newRun(1), body)
}

// runInFakeTimeWith runs body in fake time on r.
func runInFakeTimeWith(r *run, body func(r *run, key request.Key)) {
	GinkgoHelper()
	synctest.Test(suite, func(*testing.T) {
		r.start()
		body(r, newKey(rand.New(rand.NewPCG(1, 3))))
		time.Sleep(settleTime)
	})
}

// transfer returns a request with an Idempotency-Key and a deadline after timeout.
func transfer(key request.Key, id string, timeout time.Duration) *request.Request {
	return &request.Request{ID: id, Service: runService, Team: runTeam, Key: key, Method: "POST", Path: "/transfers", Deadline: time.Now().Add(timeout)}
}

var _ = Describe("a claim", func() {
	It("is granted although the response to its write was lost", func() {
		var claim request.Claim
		var err error
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.lostShare = 1 })
			claim, err = r.ledgers["entry-1"].Claim(context.Background(), transfer(key, "first", 3*time.Second))
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(claim.State).To(Equal(request.ClaimGranted))
	})

	It("is not granted after its deadline, and its key is refused once the store responds", func() {
		var err error
		var later request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.maxDelay = 800 * time.Millisecond })
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			_, err = r.ledgers["entry-1"].Claim(ctx, transfer(key, "first", 10*time.Millisecond))
			time.Sleep(30 * time.Second)
			later, _ = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "second", 5*time.Second))
		})
		Expect(problem.Is(err, problem.Timeout)).To(BeTrue(), "%v", err)
		Expect(later.State).To(Equal(request.ClaimRefused))
	})

	It("does not abort a call to an owner when a caller's deadline passes", func() {
		var abandonedCalls int
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.maxDelay = 100 * time.Millisecond })
			for _, l := range r.ledgers {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				_, _ = l.Claim(ctx, transfer(key, "first", 5*time.Millisecond))
				cancel()
			}
			time.Sleep(10 * time.Second)
			r.faults.change(func(f *faults) { abandonedCalls = f.abandonedCalls })
		})
		Expect(abandonedCalls).To(BeZero()) // an aborted call would break the session that all calls share
	})

	It("returns the error that this attempt did not run when the store is down", func() {
		var err error
		runInFakeTime(func(r *run, key request.Key) {
			r.faults.change(func(f *faults) { f.outage = true })
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = r.ledgers["entry-1"].Claim(ctx, transfer(key, "first", time.Second))
		})
		Expect(err).To(MatchError(ContainSubstring("this attempt did not run")))
	})

	It("is rejected when its key expired while it waited", func() {
		var err error
		runInFakeTime(func(r *run, key request.Key) {
			time.Sleep(request.KeyRetention + time.Millisecond)
			_, err = r.ledgers["entry-1"].Claim(context.Background(), transfer(key, "first", time.Second))
		})
		Expect(problem.Is(err, problem.Invalid)).To(BeTrue(), "%v", err)
	})

	It("is answered with the first answer, or with unknown when that was too large to store", func() {
		for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 4 << 20} {
			var replay request.Claim
			runInFakeTime(func(r *run, key request.Key) {
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
				Expect(replay.Result.Err).To(MatchError(ContainSubstring("too large to store")))
				continue
			}
			Expect(replay.Result.Outcome).To(Equal(fleet.Completed))
			Expect(replay.Result.Answer.Fields).To(Equal([]request.Field{{Name: "A", Value: "b"}}))
			Expect(bytes.Equal(replay.Result.Answer.Body, bytes.Repeat([]byte("flock "), size/6+1)[:size])).To(BeTrue(), fmt.Sprint(size))
		}
	})

	It("leaves a tombstone when its request is refused, or else its outcome is unknown", func() {
		var refused, lost request.Result
		var later request.Claim
		runInFakeTime(func(r *run, key request.Key) {
			l := r.ledgers["entry-1"]
			refusal := request.Result{Outcome: fleet.NotRun, Err: problem.New(problem.Overloaded, problem.StepAdmit, "", "shed")}
			first := transfer(key, "first", time.Second)
			_, err := l.Claim(context.Background(), first)
			Expect(err).NotTo(HaveOccurred())
			refused = l.Complete(context.Background(), first, refusal)
			later, _ = r.ledgers["entry-2"].Claim(context.Background(), transfer(key, "second", time.Second))

			second := transfer(newKey(rand.New(rand.NewPCG(1, 4))), "third", time.Second)
			_, err = l.Claim(context.Background(), second)
			Expect(err).NotTo(HaveOccurred())
			r.faults.change(func(f *faults) { f.outage = true })
			lost = l.Complete(context.Background(), second, refusal)
		})
		Expect(refused.Outcome).To(Equal(fleet.NotRun))
		Expect(later.State).To(Equal(request.ClaimRefused))
		Expect(lost.Outcome).To(Equal(fleet.Unknown))
	})
})
