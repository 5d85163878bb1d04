package load

import "time"

// maxMisses is how many misses one worker remembers, so that a flood's refusals
// take no room.
const maxMisses = 16

// maxMissBody is how many bytes of a miss's body are remembered.
const maxMissBody = 1 << 10

// Miss is a request without a good answer, as its caller saw it.
type Miss struct {
	Index   int // of the request in its plan
	Due     time.Time
	Took    time.Duration // since it was due
	Status  int           // zero: no whole answer
	Outcome string        // of the Persimmonbay-Outcome header
	Body    string        // its beginning: the problem document names step and peer
	Err     error         // why there is no whole answer
}
