package operator

import (
	"context"

	"persimmonbay/internal/operator/message"
)

// LedgerBackend is what the operators' face needs of an entry's ledger.
type LedgerBackend interface {
	// LedgerEntry returns the ledger's word on an Idempotency-Key.
	LedgerEntry(ctx context.Context, key string) (message.LedgerEntry, error)
	// LedgerInDoubt returns the keys whose outcome nobody can know.
	LedgerInDoubt(ctx context.Context) ([]message.LedgerEntry, error)
}
