package message

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// InstanceStatus is the state of one instance: its pool, its phase of
// maintenance and its reservation.
type InstanceStatus struct {
	fleet.Instance
	Pool        string                      `json:"pool"` // empty: none yet
	Home        string                      `json:"home"`
	Target      string                      `json:"target,omitempty"`
	Phase       maintenance.Phase           `json:"phase"`
	Since       time.Time                   `json:"since"`
	Missing     bool                        `json:"missing"` // not live in the platform's list
	ReservedFor maintenance.ReservationKind `json:"reservedFor,omitempty"`
	ReservedBy  string                      `json:"reservedBy,omitempty"`
	Maintained  string                      `json:"maintained,omitempty"` // the wave that last rebooted it
}
