package ledger

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the budget of large answers", func() {
	const budget, writes, live = 64 << 20, 60, 4

	It("limits the bytes in the store and the writes per second, whatever the load", func() {
		random := rand.New(rand.NewPCG(1, 6))
		now := time.Unix(1_700_000_000, 0)
		b := newAnswerBudget(Options{AnswerBytes: budget, AnswerWrites: writes}, now)
		var saved []savedAnswer
		stored, most := 0, 0
		for range 200_000 {
			now = now.Add(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
			for len(saved) > 0 && now.Sub(saved[0].at) > answerLifetime {
				stored, saved = stored-saved[0].bytes, saved[1:]
			}
			n := 4<<10 + random.IntN(1<<random.IntN(21))
			if b.spend(now, n, live) {
				stored, saved = stored+n, append(saved, savedAnswer{at: now, bytes: n})
				Expect(countSince(saved, now.Add(-time.Second))).To(BeNumerically("<=", writes/live+answerBurstWrites))
			}
			most = max(most, stored)
		}
		Expect(most).To(BeNumerically("<=", budget/live))
		Expect(most).To(BeNumerically(">", budget/live/2), "less than half of the budget was used")
	})

	It("suffices for an answer of the largest size that entries read whole, with seven entries", func() {
		options := DefaultOptions("entry-1")
		Expect(newAnswerBudget(options, time.Unix(0, 0)).spend(time.Unix(0, 0), 1<<20+recordBytes, 7)).To(BeTrue())
	})
})

// countSince returns the number of answers that were saved after t.
func countSince(saved []savedAnswer, t time.Time) int {
	n := 0
	for i := len(saved) - 1; i >= 0 && saved[i].at.After(t); i-- {
		n++
	}
	return n
}
