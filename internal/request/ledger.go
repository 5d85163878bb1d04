package request

import "context"

// Ledger makes sure that the work under a key is done at most once in the
// fleet.
type Ledger interface {
	// Claim asks for the right to run r. After an error nobody knows whether
	// the claim stands, but this attempt must not run.
	Claim(ctx context.Context, r *Request) (Claim, error)
	// Complete records the result of a granted claim. A result with outcome
	// NotRun becomes a tombstone. It returns the result that the caller may be
	// told: Unknown in place of NotRun when the tombstone could not be kept.
	Complete(ctx context.Context, r *Request, result Result) Result
}
