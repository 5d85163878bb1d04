// Package ledger decides which attempt may run the work under an
// Idempotency-Key. It writes a log that is divided into shards. A batch is
// appended by compare-and-swap on the state on which it was decided. When
// several entries append to a shard at once, one succeeds and the others read
// its batch and decide again, so safety depends on no leader, lease or clock.
//
// The latest batches of a shard are in a ring of slots. Older batches are
// folded: their records move to a segment, of which only the index is held in
// memory. A segment is dropped once all its keys have expired.
//
// The package is independent of encoding and transport.
package ledger
