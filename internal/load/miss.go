package load

import "time"

// maxMisses is the number of misses that one sender records. It bounds the memory
// that the refusals of an overload take.
const maxMisses = 16

// maxMissBody is the number of bytes of a miss's response body that are recorded.
const maxMissBody = 1 << 10

// Miss is a request that failed: its status was not 2xx, or no whole response was
// received.
type Miss struct {
	Index   int // index of the request in its plan
	Due     time.Time
	Took    time.Duration // from Due to the end of the request
	Status  int           // HTTP status; 0: none received
	Outcome string        // value of the Persimmonbay-Outcome header
	Body    string        // beginning of the response body; a problem document names step and peer
	Err     error         // why no whole response was received
}
