package request

import "time"

// Feedback is the result of a placement, for the Dispatcher that made it.
type Feedback struct {
	Sent     bool          // a byte of the request may have been sent
	Failed   bool          // no answer was received while the caller waited, or its status is 5xx
	Answered bool          // an answer was received, so the upstream's work is over
	Canceled bool          // the context ended before the Sender returned: the caller had gone or the deadline had passed
	Took     time.Duration // from the call of the Sender to its return; positive
}
