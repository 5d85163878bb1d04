package message

import (
	"time"

	"persimmonbay/internal/configuration"
)

// EntryStatus is what the asked entry knows of one entry.
type EntryStatus struct {
	ID                   string                `json:"id"`
	AvailabilityZone     string                `json:"availabilityZone"`
	OperatorAddress      string                `json:"operatorAddress"`
	ConfigurationVersion configuration.Version `json:"configurationVersion"`
	Alive                bool                  `json:"alive"`
	Leaving              bool                  `json:"leaving"`
	StoreReachable       bool                  `json:"storeReachable"`
	LastHeartbeat        time.Time             `json:"lastHeard"`
}
