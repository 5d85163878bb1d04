package ledger_test

import (
	"github.com/google/uuid"

	"persimmonbay/internal/ledger"
)

// flight is a write that has left a writer and not yet reached the store.
type flight struct {
	writer  *writer
	state   *ledger.State // that it was decided on
	batch   ledger.Batch
	over    uint64
	key     uuid.UUID
	attempt ledger.Attempt
}
