package request

import "context"

// grantingLedger grants every claim and returns every result unchanged.
type grantingLedger struct{}

// Claim implements Ledger.
func (grantingLedger) Claim(context.Context, *Request) (Claim, error) { return Claim{}, nil }

// Complete implements Ledger.
func (grantingLedger) Complete(_ context.Context, _ *Request, result Result) Result { return result }
