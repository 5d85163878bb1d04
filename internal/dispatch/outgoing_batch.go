package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// OutgoingBatch is a batch to be sent to another entry. The sender passes the
// answer to Placer.ApplyLoans, or the batch to Placer.BatchLost when no answer
// was received.
type OutgoingBatch struct {
	To        membership.EntryID
	Batch     slots.Batch
	CreatedAt time.Time // when it was made
	services  []string  // of the batch's reports, in their order
}
