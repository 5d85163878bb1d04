package membership

import (
	"time"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/routing"
)

// Heartbeat is a message by which an entry shows that it is alive and which
// configuration, list of instances and maintenance records it uses.
type Heartbeat struct {
	Entry                EntryID
	ConfigurationVersion configuration.Version
	Leaving              bool                  // the sender is shutting down
	StoreReachable       bool                  // from the sender
	Confirmed            time.Time             // when the store last confirmed the registration of the sender; zero: never
	Registration         *Registration         // of the sender; nil when the receiver knows it
	UnknownSender        bool                  // in a reply: the replying entry does not know the entry to which it replies
	Incarnation          uint64                // increases with every start of the sender
	StartedAt            time.Time             // of this entry's own: when its process started; zero: not known
	SentAt               time.Time             // of a received one: when it was sent, by the receiver's clock
	Instances            inventory.Stamp       // of the list of instances in use
	LeavingUpstreams     []routing.LeavingMark // instances that reported that they are leaving
	MaintenanceRevision  uint64                // of the pool records in use
}
