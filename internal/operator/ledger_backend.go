package operator

import (
	"context"

	"persimmonbay/internal/operator/message"
)

// LedgerBackend is what the operators' API needs of an entry's ledger.
type LedgerBackend interface {
	// LedgerEntry returns what the ledger has recorded of an Idempotency-Key.
	LedgerEntry(ctx context.Context, key string) (message.LedgerEntry, error)
	// LedgerInDoubt returns the keys whose outcome is unknown and stays so.
	LedgerInDoubt(ctx context.Context) ([]message.LedgerEntry, error)
}
