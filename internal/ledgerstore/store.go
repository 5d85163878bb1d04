package ledgerstore

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/problem"
)

// maxValueBytes is the size of the largest value that the platform's store
// accepts.
const maxValueBytes = 1_000_000

// maxPartBytes is the approximate size of the largest part of a segment or of an
// answer's body. It is below maxValueBytes to leave room for the encoding.
const maxPartBytes = 768 << 10

// Store stores the ledger's log in the platform's store. It has no state of its
// own.
type Store struct {
	kv platform.Store
}

var _ ledger.LogStore = (*Store)(nil)

// New returns a log store in kv.
func New(kv platform.Store) *Store { return &Store{kv: kv} }

// Load implements ledger.LogStore.
func (s *Store) Load(ctx context.Context, shard int) (ledger.Snapshot, error) {
	var snapshot ledger.Snapshot
	listing, err := s.kv.List(ctx, logPrefix(shard))
	if err != nil {
		return snapshot, err
	}
	for _, item := range listing.Items {
		if strings.HasPrefix(item.Key, slotPrefix(shard)) {
			b, err := decodeBatch(item)
			if err != nil {
				return snapshot, err
			}
			snapshot.Batches = append(snapshot.Batches, b)
			continue
		}
		index, err := decodeIndex(item)
		if err != nil {
			return snapshot, err
		}
		snapshot.Indexes = append(snapshot.Indexes, index)
	}
	return snapshot, nil
}

// Read implements ledger.LogStore.
func (s *Store) Read(ctx context.Context, shard int, seq uint64) (ledger.StoredBatch, error) {
	item, err := s.kv.Get(ctx, slotKey(shard, seq%ledger.RingSlots))
	if err != nil {
		return ledger.StoredBatch{}, err
	}
	return decodeBatch(item)
}

// Append implements ledger.LogStore.
func (s *Store) Append(ctx context.Context, shard int, batch ledger.Batch, ifVersion uint64) (uint64, error) {
	value, err := encode(&wire.LedgerBatch{Seq: batch.Seq, Records: wire.FromLedgerRecords(batch.Records)})
	if err != nil {
		return 0, err
	}
	return s.kv.Put(ctx, slotKey(shard, batch.Seq%ledger.RingSlots), value, platform.IfVersion(ifVersion), "")
}

// WriteSegment implements ledger.LogStore. A segment that already exists was
// folded from the same batches and is left as it is.
func (s *Store) WriteSegment(ctx context.Context, shard int, segment *ledger.Segment) error {
	parts := splitRecords(segment.Records)
	for i, records := range parts {
		m := &wire.LedgerSegment{Number: segment.Number, Records: wire.FromLedgerRecords(records), Parts: uint32(len(parts))}
		if err := s.createIfAbsent(ctx, segmentKey(shard, segment.Number, i), m); err != nil {
			return err
		}
	}
	index := segment.Index()
	return s.createIfAbsent(ctx, indexKey(shard, segment.Number), &wire.LedgerIndex{
		Number: index.Number, OldestMillis: index.Oldest.UnixMilli(), NewestMillis: index.Newest.UnixMilli(),
		Fingerprints: index.Fingerprints,
	})
}

// splitRecords splits records into parts that each fit into a value of the store.
func splitRecords(records []ledger.Record) [][]ledger.Record {
	var parts [][]ledger.Record
	start, bytes := 0, 0
	for i := range records {
		if bytes += records[i].Bytes(); bytes > maxPartBytes {
			parts = append(parts, records[start:i])
			start, bytes = i, records[i].Bytes()
		}
	}
	return append(parts, records[start:])
}

func (s *Store) createIfAbsent(ctx context.Context, key string, m proto.Message) error {
	value, err := encode(m)
	if err != nil {
		return err
	}
	_, err = s.kv.Put(ctx, key, value, platform.MustNotExist(), "")
	if problem.Is(err, problem.Conflict) {
		return nil
	}
	return err
}

// ReadSegment implements ledger.LogStore.
func (s *Store) ReadSegment(ctx context.Context, shard int, number uint64) (*ledger.Segment, error) {
	segment := &ledger.Segment{Number: number}
	for part, parts := 0, 1; part < parts; part++ {
		m, err := s.readPart(ctx, shard, number, part)
		if err != nil {
			return nil, err
		}
		records, err := wire.ToLedgerRecords(m.GetRecords())
		if err != nil {
			return nil, err
		}
		segment.Records, parts = append(segment.Records, records...), int(m.GetParts())
	}
	return segment, nil
}

func (s *Store) readPart(ctx context.Context, shard int, number uint64, part int) (*wire.LedgerSegment, error) {
	item, err := s.kv.Get(ctx, segmentKey(shard, number, part))
	if err != nil {
		return nil, err
	}
	m := &wire.LedgerSegment{}
	return m, decode(item, m)
}

// DropSegment implements ledger.LogStore. It removes the first part, which holds
// the number of parts, after the other parts, and the index last. While anything
// of the segment exists, so does the index, and an entry that loads it can drop
// the rest.
func (s *Store) DropSegment(ctx context.Context, shard int, number uint64) error {
	if err := s.dropParts(ctx, shard, number); err != nil {
		return err
	}
	return s.deleteIfPresent(ctx, indexKey(shard, number))
}

func (s *Store) dropParts(ctx context.Context, shard int, number uint64) error {
	first, err := s.readPart(ctx, shard, number, 0)
	if problem.Is(err, problem.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	for part := int(first.GetParts()) - 1; part >= 0; part-- {
		if err := s.deleteIfPresent(ctx, segmentKey(shard, number, part)); err != nil {
			return err
		}
	}
	return nil
}

// deleteIfPresent deletes key. It is no error when the key does not exist.
func (s *Store) deleteIfPresent(ctx context.Context, key string) error {
	err := s.kv.Delete(ctx, key, platform.Any())
	if problem.Is(err, problem.NotFound) {
		return nil
	}
	return err
}
