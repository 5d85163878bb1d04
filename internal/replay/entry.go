package replay

import (
	"time"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/membership"
)

// entry is one entry of the replayed fleet.
type entry struct {
	id       membership.EntryID
	zone     string
	placer   *dispatch.Placer
	dead     bool
	rounds   int
	lastAt   time.Duration // of the latest round
	nextAt   time.Duration // of the round on the agenda
	messages int
	bytes    int // of control messages, sent and received
}
