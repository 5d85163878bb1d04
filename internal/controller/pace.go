package controller

import "time"

// Pace bounds how fast records are written, so that a plan with many of them,
// as after the first configuration, leaves the platform's rate to others. The
// zero Pace writes one record after the other without a pause.
type Pace struct {
	Group int           // records written at a time
	Gap   time.Duration // between the beginnings of two groups
}

// DefaultPace writes at most 250 records a second.
func DefaultPace() Pace { return Pace{Group: 16, Gap: 64 * time.Millisecond} }
