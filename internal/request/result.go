package request

import "persimmonbay/internal/fleet"

// Result is what a caller is told. Answer holds when Err is nil.
type Result struct {
	Outcome  fleet.Outcome
	Answer   Answer
	Replayed bool // the answer was given before, under the same key
	Err      error
}
