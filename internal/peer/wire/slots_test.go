package wire

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"persimmonbay/internal/slots"
)

// TestSlotLoans holds that loans come out of their message as they went in.
func TestSlotLoans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		count := rapid.IntRange(0, 5).Draw(t, "count")
		items, loans := make([]slots.Report, count), make([]slots.Loan, count)
		for i := range count {
			items[i] = slots.Report{Upstream: "tags-1", Term: rapid.Uint64Range(0, 2).Draw(t, "item's term")}
			loans[i] = slots.Loan{Upstream: "tags-1", TermUnknown: rapid.Bool().Draw(t, "unknown")}
			if rapid.Bool().Draw(t, "home") {
				loans[i] = slots.Loan{Upstream: "tags-1", Home: true, Term: rapid.Uint64Range(1, 2).Draw(t, "term"),
					Granted: rapid.IntRange(0, 8).Draw(t, "granted"), Settled: rapid.Bool().Draw(t, "settled")}
			}
		}
		sent, err := proto.Marshal(FromSlotLoans(items, loans))
		g.Expect(err).NotTo(HaveOccurred())
		received := &SlotLoans{}
		g.Expect(proto.Unmarshal(sent, received)).To(Succeed())
		g.Expect(ToSlotLoans(items, received)).To(Equal(loans))
	})
}
