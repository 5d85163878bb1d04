package platform

import (
	"time"

	"persimmonbay/internal/fleet"
)

// instanceVersion is the state of an instance from one time on, until its next
// version.
type instanceVersion struct {
	at       time.Time
	instance fleet.Instance
	deleted  bool
}
