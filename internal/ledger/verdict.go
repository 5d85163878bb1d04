package ledger

import "persimmonbay/internal/request"

// Verdict is the log's answer to an operation. ClaimGranted says that the log
// now says what the operation wanted. Record is what the log says otherwise.
type Verdict struct {
	State  request.ClaimState
	Record Record
}
