package ledger

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the budget of large answers", func() {
	const budget, writes, live = 64 << 20, 60, 4

	It("bounds what stands in the store at once and the writes of a second, whatever is offered", func() {
		random := rand.New(rand.NewPCG(1, 6))
		now := time.Unix(1_700_000_000, 0)
		b := newAnswerBudget(Options{AnswerBytes: budget, AnswerWrites: writes}, now)
		var kept []keptAnswer
		stored, most := 0, 0
		for range 200_000 {
			now = now.Add(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
			for len(kept) > 0 && now.Sub(kept[0].at) > answerLifetime {
				stored, kept = stored-kept[0].bytes, kept[1:]
			}
			n := 4<<10 + random.IntN(1<<random.IntN(21))
			if b.spend(now, n, live) {
				stored, kept = stored+n, append(kept, keptAnswer{at: now, bytes: n})
				Expect(countSince(kept, now.Add(-time.Second))).To(BeNumerically("<=", writes/live+answerBurstWrites))
			}
			most = max(most, stored)
		}
		Expect(most).To(BeNumerically("<=", budget/live))
		Expect(most).To(BeNumerically(">", budget/live/2), "the budget was hardly used")
	})

	It("leaves an answer of the size that entries read whole room at seven entries", func() {
		options := DefaultOptions("entry-1")
		Expect(newAnswerBudget(options, time.Unix(0, 0)).spend(time.Unix(0, 0), 1<<20+recordBytes, 7)).To(BeTrue())
	})
})

// countSince returns how many were kept after t.
func countSince(kept []keptAnswer, t time.Time) int {
	n := 0
	for i := len(kept) - 1; i >= 0 && kept[i].at.After(t); i-- {
		n++
	}
	return n
}
