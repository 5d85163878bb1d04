package places

import "time"

// Answer is the decision about a Question.
type Answer struct {
	Wait   bool
	For    time.Duration // the expected wait from now on; 0: it is not to wait
	Reason Reason
}
