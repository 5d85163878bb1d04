package membership

import (
	"time"

	"persimmonbay/internal/configuration"
)

// Member is what this entry knows about another one.
type Member struct {
	ID                   EntryID               `json:"id"`
	PeerAddress          string                `json:"peerAddress"`
	OperatorAddress      string                `json:"operatorAddress"`
	AvailabilityZone     string                `json:"availabilityZone"`
	ConfigurationVersion configuration.Version `json:"configurationVersion"`
	Leaving              bool                  `json:"leaving"`
	StoreReachable       bool                  `json:"storeReachable"`
	Confirmed            time.Time             `json:"confirmed"`           // when the store last confirmed its registration; zero: never
	Registered           bool                  `json:"registered"`          // its registration stands in the store, as last observed
	LastHeartbeat        time.Time             `json:"lastHeard"`           // when its last heartbeat was sent, by the clock of this entry; zero: never
	Incarnation          uint64                `json:"incarnation"`         // of its latest process that sent a heartbeat
	ReportedAt           time.Time             `json:"introduced"`          // when a peer reported it; zero: never
	MaintenanceRevision  uint64                `json:"maintenanceRevision"` // of the pool records in use
}

// Alive reports whether a heartbeat was received that the member sent within suspectAfter
// before now.
func (m Member) Alive(now time.Time, suspectAfter time.Duration) bool {
	return !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) <= suspectAfter
}
