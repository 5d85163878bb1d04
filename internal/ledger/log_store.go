package ledger

import "context"

// LogStore stores the log. Errors are *problem.Error. Batch n is in slot
// n modulo RingSlots. Slots are overwritten and never deleted, so a slot never
// has the same version twice, and a write that is based on an outdated state
// always fails.
type LogStore interface {
	// Load returns the whole log of the shard except the records of segments.
	Load(ctx context.Context, shard int) (Snapshot, error)
	// Read returns the batch in the slot of seq, which may have another sequence
	// number, or an error of kind NotFound when the slot is empty.
	Read(ctx context.Context, shard int, seq uint64) (StoredBatch, error)
	// Append writes the batch to its slot if the slot has the version ifVersion,
	// 0 for an empty slot, and returns the new version. It returns an error of
	// kind Conflict when the slot has another version. After any other error it
	// is unknown whether the batch was written.
	Append(ctx context.Context, shard int, batch Batch, ifVersion uint64) (version uint64, err error)
	// WriteSegment writes the segment and then its index. It is idempotent.
	WriteSegment(ctx context.Context, shard int, segment *Segment) error
	// ReadSegment returns a segment, or an error of kind NotFound.
	ReadSegment(ctx context.Context, shard int, number uint64) (*Segment, error)
	// DropSegment removes a segment and then its index. After an error the index
	// still exists, unless only the last response was lost, and part of the
	// segment may exist: ReadSegment then returns NotFound.
	DropSegment(ctx context.Context, shard int, number uint64) error
}
