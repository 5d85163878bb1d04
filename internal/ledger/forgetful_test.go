package ledger_test

import (
	"context"

	"persimmonbay/internal/request"
)

// forgetful is a sabotaged ledger: some requests are refused with the word
// not-run and no tombstone in the log.
type forgetful struct {
	request.Ledger
	faults *faults
	share  float64
}

func (f forgetful) Claim(ctx context.Context, r *request.Request) (request.Claim, error) {
	if f.faults.draws(f.share) {
		return request.Claim{State: request.ClaimRefused}, nil
	}
	return f.Ledger.Claim(ctx, r)
}
