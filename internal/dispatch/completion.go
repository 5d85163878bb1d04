package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// Completion is the end of a started request: the slot and the charge that it used,
// and how it went.
type Completion struct {
	Upstream string
	Class    fleet.Class
	Team     string
	Charge   time.Duration // of its Start
	Feedback request.Feedback
}

// serviceTime returns how long the request took or, when it has no answer, may have
// taken: at least expected.
func (e Completion) serviceTime(expected time.Duration) time.Duration {
	switch {
	case !e.Feedback.Sent:
		return expected
	case !e.Feedback.Answered:
		return max(e.Feedback.Took, expected)
	}
	return e.Feedback.Took
}
