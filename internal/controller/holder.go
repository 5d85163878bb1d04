package controller

import "time"

// holder is what a Lease knows of its own hold.
type holder struct {
	until time.Time // the hold surely lasts until then; zero: not held
}
