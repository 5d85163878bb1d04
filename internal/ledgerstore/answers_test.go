package ledgerstore_test

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	standin "persimmonbay/internal/standin/platform"
)

var _ = Describe("the store of large answers", func() {
	ctx := context.Background()
	key := uuid.Must(uuid.NewV7())

	It("returns what was written, of any size up to 1 MiB, also after a repeated write", func() {
		store := standin.NewStore(clockwork.NewFakeClock())
		answers := ledgerstore.NewAnswers(store, store, clockwork.NewFakeClock())
		for attempt, size := range []int{0, 5 << 10, 768 << 10, 768<<10 + 1, 1 << 20} {
			answer := &request.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), size), Length: int64(size), Fields: []request.Field{{Name: "A", Value: "b"}}}
			for range 2 {
				parts, err := answers.WriteAnswer(ctx, key, ledger.Attempt(attempt), answer)
				Expect(err).NotTo(HaveOccurred())
				read, err := answers.ReadAnswer(ctx, key, ledger.Attempt(attempt), parts)
				Expect(err).NotTo(HaveOccurred())
				Expect(read.Status).To(Equal(201))
				Expect(read.Fields).To(Equal(answer.Fields))
				Expect(read.Length).To(Equal(answer.Length))
				Expect(bytes.Equal(read.Body, answer.Body)).To(BeTrue(), "%d", size)
			}
		}
	})

	It("returns an error when a header exceeds the store's largest value", func() {
		store := standin.NewStore(clockwork.NewFakeClock())
		answers := ledgerstore.NewAnswers(store, store, clockwork.NewFakeClock())
		_, err := answers.WriteAnswer(ctx, key, 1, &request.Answer{Fields: []request.Field{{Name: "A", Value: strings.Repeat("b", 1<<20)}}})
		Expect(problem.Is(err, problem.TooLarge)).To(BeTrue(), "%v", err)
	})

	It("holds an answer until its key has expired, nothing after its lifetime, and uses a new lease once the old one has ended", func() {
		clock := clockwork.NewFakeClock()
		store := standin.NewStore(clock)
		answers := ledgerstore.NewAnswers(store, store, clock)
		answer := &request.Answer{Status: 201, Body: make([]byte, 1<<20)}
		parts, err := answers.WriteAnswer(ctx, key, 1, answer)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(ledger.AnswerLeaseReuse - time.Millisecond)
		_, err = answers.WriteAnswer(ctx, key, 2, answer) // just before AnswerLeaseReuse has passed
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(request.KeySkew + request.KeyRetention)
		for _, attempt := range []ledger.Attempt{1, 2} {
			_, err = answers.ReadAnswer(ctx, key, attempt, parts)
			Expect(err).NotTo(HaveOccurred())
		}
		clock.Advance(ledger.AnswerTTL)
		Eventually(func() int {
			listing, _ := store.List(ctx, "")
			return len(listing.Items)
		}).Should(BeZero())
		_, err = answers.WriteAnswer(ctx, key, 3, answer)
		Expect(err).NotTo(HaveOccurred())
	})
})
