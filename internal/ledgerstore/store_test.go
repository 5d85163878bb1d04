package ledgerstore_test

import (
	"context"
	"testing"
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

func TestLedgerStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger store")
}

// fourParts returns segment 3 with records like r. It is stored as four values
// and an index.
func fourParts(r ledger.Record) *ledger.Segment {
	segment := &ledger.Segment{Number: 3}
	for range 600 {
		r.Key, r.Answer = uuid.Must(uuid.NewV7()), &request.Answer{Status: 201, Body: make([]byte, 4<<10), Length: 4 << 10}
		segment.Records = append(segment.Records, r)
	}
	return segment
}

var _ = Describe("the ledger's store", func() {
	ctx := context.Background()
	record := ledger.Record{
		Key: uuid.Must(uuid.NewV7()), Digest: ledger.Digest{1, 2}, Attempt: 7, Phase: ledger.PhaseFinished, Entry: "entry-1",
		Deadline: time.UnixMilli(1_700_000_000_123), Status: 201,
		Answer: &request.Answer{Status: 201, Body: []byte("done"), Length: 4, Fields: []request.Field{{Name: "A", Value: "b"}, {Name: "A", Value: "c"}}},
	}

	It("returns what was appended, and refuses an outdated version", func() {
		log := ledgerstore.New(standin.NewStore(clockwork.NewRealClock()))
		batch := ledger.Batch{Seq: 1, Records: []ledger.Record{record}}
		version, err := log.Append(ctx, 0, batch, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, 0, batch, 0)
		Expect(problem.Is(err, problem.Conflict)).To(BeTrue())
		stored, err := log.Read(ctx, 0, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored).To(Equal(ledger.StoredBatch{Batch: batch, Version: version}))
		_, err = log.Read(ctx, 0, 2)
		Expect(problem.Is(err, problem.NotFound)).To(BeTrue())
	})

	It("writes segments with their indexes, also repeatedly, and drops both", func() {
		log := ledgerstore.New(standin.NewStore(clockwork.NewRealClock()))
		segment := &ledger.Segment{Number: 3, Records: []ledger.Record{record}}
		Expect(log.WriteSegment(ctx, 1, segment)).To(Succeed())
		Expect(log.WriteSegment(ctx, 1, segment)).To(Succeed())
		Expect(log.ReadSegment(ctx, 1, 3)).To(Equal(segment))
		Expect(log.Load(ctx, 1)).To(Equal(ledger.Snapshot{Indexes: []ledger.Index{segment.Index()}}))
		Expect(log.Load(ctx, 0)).To(Equal(ledger.Snapshot{}))
		Expect(log.DropSegment(ctx, 1, 3)).To(Succeed())
		_, err := log.ReadSegment(ctx, 1, 3)
		Expect(problem.Is(err, problem.NotFound)).To(BeTrue())
		Expect(log.Load(ctx, 1)).To(Equal(ledger.Snapshot{}))
	})

	It("leaves nothing of a dropped segment, after whichever delete the entry that dropped it was killed", func() {
		for deletes := range 6 {
			store := standin.NewStore(clockwork.NewRealClock())
			Expect(ledgerstore.New(store).WriteSegment(ctx, 1, fourParts(record))).To(Succeed())
			killed := ledgerstore.New(&haltingStore{Store: store, deletes: deletes})
			err := killed.DropSegment(ctx, 1, 3)
			Expect(err == nil).To(Equal(deletes == 5), "%d: %v", deletes, err)

			next := ledgerstore.New(store)
			snapshot, err := next.Load(ctx, 1)
			Expect(err).NotTo(HaveOccurred())
			for _, number := range ledger.NewState(snapshot).Expired(time.Now().Add(time.Hour), 9) {
				Expect(next.DropSegment(ctx, 1, number)).To(Succeed())
			}
			listing, err := store.List(ctx, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(listing.Items).To(BeEmpty(), "killed after %d deletes", deletes)
		}
	})

	It("splits a segment into values that the store accepts, and drops all of them", func() {
		store := standin.NewStore(clockwork.NewRealClock())
		log := ledgerstore.New(store)
		segment := fourParts(record)
		Expect(log.WriteSegment(ctx, 1, segment)).To(Succeed())
		Expect(log.ReadSegment(ctx, 1, 3)).To(Equal(segment))
		Expect(log.DropSegment(ctx, 1, 3)).To(Succeed())
		listing, err := store.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Items).To(BeEmpty())
	})
})
