package ledger

import "persimmonbay/internal/request"

// Verdict is the decision on an operation. State is ClaimGranted when the log has
// the state that the operation requested. Record is the latest record of the key.
type Verdict struct {
	State  request.ClaimState
	Record Record
}
