package dispatch

import (
	"time"

	"persimmonbay/internal/fleet"
)

// Start is the start of a request: the instance that it is sent to, with a slot
// taken on it.
type Start struct {
	Instance fleet.Instance
	Charge   time.Duration // to be passed back in Completion
}
