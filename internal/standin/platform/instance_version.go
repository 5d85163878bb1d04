package platform

import (
	"time"

	"persimmonbay/internal/fleet"
)

// instanceVersion is what became of an instance at one time.
type instanceVersion struct {
	at       time.Time
	instance fleet.Instance
	gone     bool
}
