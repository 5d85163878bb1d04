package message

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// InstanceStatus is one instance with its pool and what it is reserved for.
type InstanceStatus struct {
	fleet.Instance
	Pool        string                      `json:"pool"` // empty: none yet
	Home        string                      `json:"home"`
	Target      string                      `json:"target,omitempty"`
	Phase       maintenance.Phase           `json:"phase"`
	Since       time.Time                   `json:"since"`
	Missing     bool                        `json:"missing"` // not live on the platform's list
	ReservedFor maintenance.ReservationKind `json:"reservedFor,omitempty"`
	ReservedBy  string                      `json:"reservedBy,omitempty"`
	Maintained  string                      `json:"maintained,omitempty"` // the wave that rebooted it last
}
