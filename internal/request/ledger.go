package request

import "context"

// Ledger ensures that the work under a key runs at most once in the fleet.
type Ledger interface {
	// Claim requests the right to run r. After an error the claim may have been
	// recorded or not, and this attempt must not run.
	Claim(ctx context.Context, r *Request) (Claim, error)
	// Complete records the result of a granted claim. A result with outcome
	// NotRun is recorded as a tombstone. It returns the result for the caller,
	// with outcome Unknown in place of NotRun when the tombstone could not be
	// saved.
	Complete(ctx context.Context, r *Request, result Result) Result
}
