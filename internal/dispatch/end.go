package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
)

// End tells how a started request went.
type End struct {
	Upstream string
	Class    fleet.Class
	Team     string
	Charge   time.Duration
	Feedback request.Feedback
}
