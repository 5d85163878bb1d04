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
