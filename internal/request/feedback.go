package request

import "time"

// Feedback tells a Dispatcher how a placement went.
type Feedback struct {
	Sent   bool          // a byte of the request left
	Failed bool          // no whole answer came, or the upstream answered 5xx
	Took   time.Duration // from sending to the answer or failure
}
