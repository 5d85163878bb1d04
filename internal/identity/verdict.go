package identity

import "persimmonbay/internal/poolconfig"

// Verdict is the outcome of a call; the other fields are set when it is admitted.
type Verdict struct {
	Outcome Outcome
	Queue   *poolconfig.Queue
	Rest    string // the path after the queue's prefix
	Caller  Caller
}
