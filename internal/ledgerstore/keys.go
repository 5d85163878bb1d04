package ledgerstore

import (
	"fmt"

	"github.com/google/uuid"

	"persimmonbay/internal/ledger"
)

// logPrefix is the prefix of a shard's slots and indexes, which are all that a
// new owner loads.
func logPrefix(shard int) string { return fmt.Sprintf("persimmonbay/ledger/%03d/log/", shard) }

func slotPrefix(shard int) string { return logPrefix(shard) + "slot-" }

func slotKey(shard int, slot uint64) string { return fmt.Sprintf("%s%03d", slotPrefix(shard), slot) }

func indexPrefix(shard int) string { return logPrefix(shard) + "index-" }

func indexKey(shard int, number uint64) string {
	return fmt.Sprintf("%s%016x", indexPrefix(shard), number)
}

// answerKey is the key of one part of an attempt's answer. Parts are numbered
// from 0.
func answerKey(key uuid.UUID, attempt ledger.Attempt, part int) string {
	return fmt.Sprintf("persimmonbay/ledger/answers/%s/%016x/%d", key, uint64(attempt), part)
}

// segmentKey is the key of one part of a segment. Parts are numbered from 0.
func segmentKey(shard int, number uint64, part int) string {
	return fmt.Sprintf("persimmonbay/ledger/%03d/segment/%016x/%d", shard, number, part)
}
