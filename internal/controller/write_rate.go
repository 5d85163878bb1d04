package controller

import "time"

// WriteRate limits the rate at which records are written, so that a plan with
// many records, such as the one after the first configuration, leaves a part of
// the platform's rate limit to other callers. The zero WriteRate writes one
// record after the other without a gap.
type WriteRate struct {
	Group int           // records written concurrently
	Gap   time.Duration // between the starts of two groups
}

// DefaultWriteRate returns a rate of at most 250 records a second.
func DefaultWriteRate() WriteRate { return WriteRate{Group: 16, Gap: 64 * time.Millisecond} }
