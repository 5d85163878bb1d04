package request

import "time"

// Feedback tells a Dispatcher how a placement went.
type Feedback struct {
	Sent     bool          // a byte of the request left
	Failed   bool          // no whole answer came, or the upstream answered 5xx
	Answered bool          // a whole answer came, so the upstream's work is over
	Canceled bool          // the caller left or its deadline passed first
	Took     time.Duration // from sending to the answer or failure
}
