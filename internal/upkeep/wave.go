package upkeep

import "time"

// Wave asks that each of its machines has its upkeep within a time, with a
// bounded number down at once.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration
	Cap      int // machines down at once
}
