package bench

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/ledger"
	"persimmonbay/internal/ledgerstore"
	"persimmonbay/internal/request"
	standinplatform "persimmonbay/internal/standin/platform"
)

// keysPerBatch is the number of claims in one batch at full load; a batch holds as
// many outcomes of earlier claims.
const keysPerBatch = claimsPerSecond / batchWrites

// BenchmarkLedgerSize prints the memory and the store bytes of one shard at three
// numbers of keys within the retention, and the bytes per key between them.
func BenchmarkLedgerSize(b *testing.B) {
	for range b.N {
		var lastKeys, lastHeap, lastStore float64
		for _, keys := range []int{40_000, 160_000, 640_000} {
			heap, stored := measureSize(keys)
			fmt.Printf("%7d keys: %9.0f bytes of memory, %10.0f bytes in the store", keys, heap, stored)
			if lastKeys > 0 {
				fmt.Printf("; slope %.1f and %.1f bytes a key", (heap-lastHeap)/(float64(keys)-lastKeys), (stored-lastStore)/(float64(keys)-lastKeys))
			}
			fmt.Println()
			lastKeys, lastHeap, lastStore = float64(keys), heap, stored
		}
	}
}

// measureSize writes this many keys to a ledger's shard and returns the bytes of
// its state in memory and in the store.
func measureSize(keys int) (heap, stored float64) {
	ctx := context.Background()
	kv := standinplatform.NewStore(clockwork.NewRealClock())
	log := ledgerstore.New(kv)
	state := ledger.NewState(ledger.Snapshot{})
	var claimed []ledger.Record
	for done := 0; done < keys; done += keysPerBatch {
		records := outcomes(claimed)
		claimed = claims()
		appendBatch(ctx, log, state, append(records, claimed...))
	}
	heap = stateBytes(ctx, log)
	listing, err := kv.List(ctx, "")
	if err != nil {
		panic(err)
	}
	for _, item := range listing.Items {
		stored += float64(len(item.Value))
	}
	return heap, stored
}

// stateBytes returns the memory of a state loaded from the store.
func stateBytes(ctx context.Context, log *ledgerstore.Store) float64 {
	before := heapBytes()
	snapshot, err := log.Load(ctx, 0)
	if err != nil {
		panic(err)
	}
	state := ledger.NewState(snapshot)
	snapshot = ledger.Snapshot{}
	bytes := heapBytes() - before
	runtime.KeepAlive(state)
	return bytes
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// claims returns the records of one batch of new claims.
func claims() []ledger.Record {
	records := make([]ledger.Record, keysPerBatch)
	for i := range records {
		key, err := uuid.NewV7()
		if err != nil {
			panic(err)
		}
		records[i] = ledger.Record{Key: key, Digest: ledger.Digest(key), Attempt: ledger.AttemptOf(key.String()), Phase: ledger.PhaseClaimed, Entry: "entry-1", Deadline: time.Now()}
	}
	return records
}

// outcomes returns the records that finish these claims.
func outcomes(claimed []ledger.Record) []ledger.Record {
	records := make([]ledger.Record, len(claimed))
	for i, r := range claimed {
		r.Phase, r.Status = ledger.PhaseFinished, 200
		r.Answer = &request.Answer{Status: 200, Body: make([]byte, answerBytes), Length: answerBytes,
			Fields: []request.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Date", Value: "Thu, 01 Jan 2026 00:00:00 GMT"}}}
		records[i] = r
	}
	return records
}

// appendBatch appends a batch to the log and folds the log into a segment when it
// is full.
func appendBatch(ctx context.Context, log *ledgerstore.Store, state *ledger.State, records []ledger.Record) {
	if state.Full() {
		segment, _ := state.NextSegment()
		if err := log.WriteSegment(ctx, 0, segment); err != nil {
			panic(err)
		}
		state.MarkFolded(segment.Index())
	}
	seq, ifVersion := state.Next()
	batch := ledger.Batch{Seq: seq, Records: records}
	version, err := log.Append(ctx, 0, batch, ifVersion)
	if err != nil {
		panic(err)
	}
	state.Apply(ledger.StoredBatch{Batch: batch, Version: version})
}
