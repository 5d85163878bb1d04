package ledger

import "context"

// LogStore keeps the log. Errors are *problem.Error. Batch n stands in slot
// n modulo RingSlots and is overwritten, never deleted, so that a version
// never stands in a slot twice and a writer from the past always fails.
type LogStore interface {
	// Load returns the whole log of the shard but for the segments' records.
	Load(ctx context.Context, shard int) (Snapshot, error)
	// Read returns the batch that stands in the slot of seq, whichever it is,
	// or an error of kind NotFound.
	Read(ctx context.Context, shard int, seq uint64) (StoredBatch, error)
	// Append puts the batch in its slot if the slot has the version over, 0
	// for empty, or returns an error of kind Conflict. After any other error
	// nobody knows.
	Append(ctx context.Context, shard int, batch Batch, over uint64) (version uint64, err error)
	// WriteSegment keeps the segment and then its index.
	WriteSegment(ctx context.Context, shard int, segment *Segment) error
	// ReadSegment returns a segment, or an error of kind NotFound.
	ReadSegment(ctx context.Context, shard int, number uint64) (*Segment, error)
	// DropSegment removes a segment and then its index. After an error the
	// index is left, unless only the last answer was lost, and the segment may
	// be there in part: it reads as NotFound then.
	DropSegment(ctx context.Context, shard int, number uint64) error
}
