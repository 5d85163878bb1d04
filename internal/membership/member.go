package membership

import (
	"time"

	"persimmonbay/internal/configuration"
)

// Member is what this entry knows of another one.
type Member struct {
	ID                   EntryID               `json:"id"`
	PeerAddress          string                `json:"peerAddress"`
	OperatorAddress      string                `json:"operatorAddress"`
	AvailabilityZone     string                `json:"availabilityZone"`
	ConfigurationVersion configuration.Version `json:"configurationVersion"`
	Leaving              bool                  `json:"leaving"`
	StoreReachable       bool                  `json:"storeReachable"`
	Confirmed            time.Time             `json:"confirmed"`           // when the store last confirmed its registration; zero: never
	Registered           bool                  `json:"registered"`          // its lease holds, as far as the store was seen
	LastHeartbeat        time.Time             `json:"lastHeard"`           // zero: never
	Incarnation          uint64                `json:"incarnation"`         // of the latest start it was heard of
	ReportedAt           time.Time             `json:"introduced"`          // when a peer reported it; zero: never
	MaintenanceRevision  uint64                `json:"maintenanceRevision"` // of the pool records that it acts on
}

// Alive reports whether the member was heard within silentFor before now.
func (m Member) Alive(now time.Time, silentFor time.Duration) bool {
	return !m.LastHeartbeat.IsZero() && now.Sub(m.LastHeartbeat) <= silentFor
}
