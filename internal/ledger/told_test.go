package ledger_test

import (
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// told is one word that a caller was given.
type told struct {
	key        request.Key
	outcome    fleet.Outcome
	replayed   bool
	body       string
	inProgress bool
	err        error
}
