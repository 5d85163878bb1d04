package ledger

import (
	"context"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Closed is a ledger that grants no claim: requests with a key do not run.
type Closed struct{}

var _ request.Ledger = Closed{}

// Claim implements request.Ledger.
func (Closed) Claim(context.Context, *request.Request) (request.Claim, error) {
	return request.Claim{}, problem.New(problem.Unavailable, problem.StepClaim, "", "this entry keeps no ledger; this attempt did not run")
}

// Complete implements request.Ledger.
func (Closed) Complete(_ context.Context, _ *request.Request, result request.Result) request.Result {
	return result
}
