package request

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Placement is the right to send one request to one instance. Release frees the
// slot and must be called exactly once.
type Placement struct {
	Instance fleet.Instance
	Release  func(Feedback)
	Waited   time.Duration // in the queue
}
