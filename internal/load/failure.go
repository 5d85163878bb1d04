package load

import "time"

// maxFailures is the number of failures that one sender records. It bounds the
// memory that the refusals of an overload take.
const maxFailures = 16

// maxFailureBody is the number of bytes of a failure's response body that are
// recorded.
const maxFailureBody = 1 << 10

// Failure is a request that failed: its status was not 2xx, or no whole response was
// received.
type Failure struct {
	Index   int // index of the request in its plan
	Due     time.Time
	Took    time.Duration // from Due to the end of the request
	Status  int           // HTTP status; 0: none received
	Outcome string        // value of the Persimmonbay-Outcome header
	Body    string        // beginning of the response body; a problem document names step and peer
	Err     error         // why no whole response was received
}
