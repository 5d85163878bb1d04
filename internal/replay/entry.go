package replay

import (
	"time"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
)

// entry is one entry of the simulated fleet.
type entry struct {
	id       membership.EntryID
	zone     string
	placer   *dispatch.Placer
	dead     bool
	rounds   int
	lastAt   time.Duration // when the latest round ran
	nextAt   time.Duration // when the scheduled round runs
	messages int           // control messages sent
	bytes    int           // size of the control messages sent and received
}
