package ledgerstore

import (
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
)

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
	return ledger.Index{Number: m.GetNumber(), Oldest: time.UnixMilli(m.GetOldestMillis()),
		Newest: time.UnixMilli(m.GetNewestMillis()), Fingerprints: m.GetFingerprints()}, err
}
