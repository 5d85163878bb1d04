package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// OutgoingBatch is a batch to be sent to another entry. The answer goes to
// Placer.ApplyLoans, or the batch to Placer.BatchLost.
type OutgoingBatch struct {
	To       membership.EntryID
	Batch    slots.Batch
	At       time.Time
	services []string // of the batch's items, in their order
}
