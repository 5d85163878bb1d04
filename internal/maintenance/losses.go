package maintenance

import "time"

// losses summarizes the lost entries of a roster.
type losses struct {
	count      int
	firstLost  time.Time // the earliest time at which one of them was lost
	firstAdded time.Time // the earliest time at which one of them was added to the roster
}
