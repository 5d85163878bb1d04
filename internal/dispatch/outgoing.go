package dispatch

import (
	"time"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/slots"
)

// Outgoing is a batch to be sent to another entry. The answer goes to
// Placer.ApplyLoans, or the batch to Placer.BatchLost.
type Outgoing struct {
	To       membership.EntryID
	Batch    slots.Batch
	At       time.Time
	services []string // of the batch's items, in their order
}
