package maintenance

import "time"

// losses sums up the lost entries of a roster.
type losses struct {
	entries int
	first   time.Time // when the first one was lost
	named   time.Time // when the first one of them was named
}
