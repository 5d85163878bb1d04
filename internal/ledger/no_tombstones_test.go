package ledger_test

import (
	"context"

	"persimmonbay/internal/request"
)

// noTombstones is a ledger without one safeguard: it refuses the given share of
// requests as not run without a tombstone in the log.
type noTombstones struct {
	request.Ledger
	faults *faults
	share  float64
}

func (n noTombstones) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	if n.faults.chance(n.share) {
		return request.Claim{State: request.ClaimRefused}, nil
	}
	return n.Ledger.Claim(ctx, r)
}
