package request

import "persimmonbay/internal/fleet"

// Result is the result of a request for its caller. Answer is valid when Err is
// nil.
type Result struct {
	Outcome  fleet.Outcome
	Answer   Answer
	Replayed bool // the result is that of an earlier request with the same key
	Err      error
}
