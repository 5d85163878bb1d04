package ledger_test

import (
	"github.com/google/uuid"

	"persimmonbay/internal/ledger"
)

// inFlightWrite is a write that a writer has sent and that has not reached the store.
type inFlightWrite struct {
	writer    *writer
	state     *ledger.State // on which the write was decided
	batch     ledger.Batch
	ifVersion uint64
	key       uuid.UUID
	attempt   ledger.Attempt
}
