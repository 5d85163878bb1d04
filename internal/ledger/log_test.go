package ledger_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
	standin "persimmonbay/internal/standin/platform"
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("the claim log", func() {
	It("grants a key to one attempt in every interleaving drawn", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			log := ledgerstore.New(standin.NewStore(clockwork.NewFakeClockAt(modelStart)))
			t.Repeat(newModel(log, modelStart).actions())
		})
	})

	It("refuses an outdated append after its slot was reused", func() {
		err := appendOutdated(standin.NewStore(clockwork.NewFakeClockAt(modelStart)))
		Expect(problem.Is(err, problem.Conflict)).To(BeTrue(), "%v", err)
	})

	It("would accept an outdated append if the keys of batches were deleted", func() {
		Expect(appendOutdated(reusedKeys{standin.NewStore(clockwork.NewFakeClockAt(modelStart))})).To(Succeed())
	})

	It("finds folded keys after a load", func() {
		m := newModel(ledgerstore.New(standin.NewStore(clockwork.NewFakeClockAt(modelStart))), modelStart)
		w := m.writers[0]
		m.load(w)
		for range 10 {
			m.fill(w)
		}
		m.load(w)
		for n := uint64(1); n <= 10*ledger.FoldBatches; n++ {
			Expect(m.current(w, keyAt(modelStart, modelKeys+n)).Attempt).To(Equal(ledger.Attempt(n)))
		}
	})

	It("drops segments after all their keys have expired, and never before", func() {
		m := newModel(ledgerstore.New(standin.NewStore(clockwork.NewFakeClockAt(modelStart))), modelStart)
		w := m.writers[0]
		m.load(w)
		for range 4 {
			m.fill(w)
		}
		Expect(w.state.SegmentNumbers()).NotTo(BeEmpty())
		Expect(w.state.Expired(modelStart.Add(15*time.Minute+time.Minute), 9)).To(BeEmpty())
		expired := w.state.Expired(modelStart.Add(15*time.Minute+time.Minute+time.Millisecond), 9)
		Expect(expired).To(ConsistOf(w.state.SegmentNumbers()))
		for _, number := range expired {
			Expect(m.log.DropSegment(context.Background(), 0, number)).To(Succeed())
			w.state.RemoveSegment(number)
		}
		m.load(w) // the rest of the log is readable after its oldest segments were dropped
		m.fill(w)
		Expect(m.failed).To(BeEmpty())
	})
})

// appendOutdated appends a batch from a writer whose state is several rounds of
// the ring old, and returns the error of the append.
func appendOutdated(store platform.Store) error {
	m := newModel(ledgerstore.New(store), modelStart)
	past, present := m.writers[0], m.writers[1]
	m.load(present)
	m.fill(present)
	m.load(past)
	seq, ifVersion := past.state.Next()
	for range 6 {
		m.fill(present)
	}
	claim := ledger.Record{Key: m.keys[0], Attempt: 1, Phase: ledger.PhaseClaimed}
	_, err := m.log.Append(context.Background(), 0, ledger.Batch{Seq: seq, Records: []ledger.Record{claim}}, ifVersion)
	return err
}
