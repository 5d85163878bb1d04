package controller

import "time"

// WriteRate bounds how fast records are written, so that a plan with many of them,
// as after the first configuration, leaves the platform's rate to others. The
// zero Pace writes one record after the other without a pause.
type WriteRate struct {
	Group int           // records written at a time
	Gap   time.Duration // between the beginnings of two groups
}

// DefaultWriteRate writes at most 250 records a second.
func DefaultWriteRate() WriteRate { return WriteRate{Group: 16, Gap: 64 * time.Millisecond} }
