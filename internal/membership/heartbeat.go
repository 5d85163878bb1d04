package membership

import (
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/routing"
)

// Heartbeat tells that an entry is alive and what it has in force.
type Heartbeat struct {
	Entry                EntryID
	ConfigurationVersion configuration.Version
	Leaving              bool
	StoreReachable       bool
	Confirmed            time.Time     // when the store last confirmed the registration of the sender; zero: never
	Registration         *Registration // of the sender; nil when the receiver knows it
	UnknownSender        bool          // in an answer: the receiver does not know the sender
	Incarnation          uint64        // rises with every start of the sender
	Instances            inventory.Stamp
	LeavingUpstreams     []routing.LeavingMark // instances that said themselves that they are leaving
	MaintenanceRevision  uint64                // of the pool records that it acts on
}
