package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Start is a request's turn: an instance with a slot taken on it.
type Start struct {
	Instance fleet.Instance
	Charge   time.Duration // to be handed back with the request's end
}
