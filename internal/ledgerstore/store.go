package ledgerstore

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

// Store is the ledger's log in the platform's store. It has no state.
type Store struct {
	kv platform.Store
}

var _ ledger.LogStore = (*Store)(nil)

// New returns the log in kv.
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
func (s *Store) Append(ctx context.Context, shard int, batch ledger.Batch, over uint64) (uint64, error) {
	value, err := encode(&wire.LedgerBatch{Seq: batch.Seq, Records: wire.FromLedgerRecords(batch.Records)})
	if err != nil {
		return 0, err
	}
	return s.kv.Put(ctx, slotKey(shard, batch.Seq%ledger.RingSlots), value, platform.IfVersion(over), "")
}

// WriteSegment implements ledger.LogStore. A segment that is there already was
// folded from the same batches.
func (s *Store) WriteSegment(ctx context.Context, shard int, segment *ledger.Segment) error {
	value, err := encode(&wire.LedgerSegment{Number: segment.Number, Records: wire.FromLedgerRecords(segment.Records)})
	if err != nil {
		return err
	}
	if err := s.create(ctx, segmentKey(shard, segment.Number), value); err != nil {
		return err
	}
	index := segment.Index()
	value, err = encode(&wire.LedgerIndex{Number: index.Number, NewestMillis: index.Newest.UnixMilli(), Fingerprints: index.Fingerprints})
	if err != nil {
		return err
	}
	return s.create(ctx, indexKey(shard, segment.Number), value)
}

func (s *Store) create(ctx context.Context, key string, value []byte) error {
	_, err := s.kv.Put(ctx, key, value, platform.MustNotExist(), "")
	if problem.Is(err, problem.Conflict) {
		return nil
	}
	return err
}

// ReadSegment implements ledger.LogStore.
func (s *Store) ReadSegment(ctx context.Context, shard int, number uint64) (*ledger.Segment, error) {
	item, err := s.kv.Get(ctx, segmentKey(shard, number))
	if err != nil {
		return nil, err
	}
	var m wire.LedgerSegment
	if err := decode(item, &m); err != nil {
		return nil, err
	}
	records, err := wire.ToLedgerRecords(m.GetRecords())
	return &ledger.Segment{Number: m.GetNumber(), Records: records}, err
}

// DropSegment implements ledger.LogStore.
func (s *Store) DropSegment(ctx context.Context, shard int, number uint64) error {
	err := s.kv.Delete(ctx, indexKey(shard, number), platform.Any())
	if err != nil && !problem.Is(err, problem.NotFound) {
		return err
	}
	return s.kv.Delete(ctx, segmentKey(shard, number), platform.Any())
}

func encode(m proto.Message) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, problem.Wrap(problem.Internal, problem.StepStoreWrite, "", err)
	}
	return value, nil
}

func decode(item api.KeyValue, m proto.Message) error {
	if err := proto.Unmarshal(item.Value, m); err != nil {
		return problem.Wrap(problem.Internal, problem.StepStoreRead, item.Key, err)
	}
	return nil
}

func decodeBatch(item api.KeyValue) (ledger.StoredBatch, error) {
	var m wire.LedgerBatch
	if err := decode(item, &m); err != nil {
		return ledger.StoredBatch{}, err
	}
	records, err := wire.ToLedgerRecords(m.GetRecords())
	return ledger.StoredBatch{Batch: ledger.Batch{Seq: m.GetSeq(), Records: records}, Version: item.Version}, err
}

func decodeIndex(item api.KeyValue) (ledger.Index, error) {
	var m wire.LedgerIndex
	err := decode(item, &m)
	return ledger.Index{Number: m.GetNumber(), Newest: time.UnixMilli(m.GetNewestMillis()), Fingerprints: m.GetFingerprints()}, err
}
