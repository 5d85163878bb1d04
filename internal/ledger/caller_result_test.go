package ledger_test

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// callerResult is one result that a caller received.
type callerResult struct {
	key        request.Key
	outcome    fleet.Outcome
	replayed   bool
	body       string
	inProgress bool
	err        error
}
