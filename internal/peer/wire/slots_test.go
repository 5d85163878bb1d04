package wire

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"persimmonbay/internal/slots"
)

// TestSlotLoans checks that loans are unchanged after they were encoded and
// decoded.
func TestSlotLoans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		count := rapid.IntRange(0, 5).Draw(t, "count")
		reports, loans := make([]slots.Report, count), make([]slots.Loan, count)
		for i := range count {
			reports[i] = slots.Report{Upstream: "tags-1", Term: rapid.Uint64Range(0, 2).Draw(t, "report's term")}
			loans[i] = slots.Loan{Upstream: "tags-1", TermUnknown: rapid.Bool().Draw(t, "unknown")}
			if rapid.Bool().Draw(t, "home") {
				loans[i] = slots.Loan{Upstream: "tags-1", Home: true, Term: rapid.Uint64Range(1, 2).Draw(t, "term"),
					Granted: rapid.IntRange(0, 8).Draw(t, "granted"), Settled: rapid.Bool().Draw(t, "settled")}
			}
		}
		sent, err := proto.Marshal(FromSlotLoans(reports, loans))
		g.Expect(err).NotTo(HaveOccurred())
		received := &SlotLoans{}
		g.Expect(proto.Unmarshal(sent, received)).To(Succeed())
		g.Expect(ToSlotLoans(reports, received)).To(Equal(loans))
	})
}
