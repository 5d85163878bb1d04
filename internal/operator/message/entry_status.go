package message

import (
	"time"

	"persimmonbay/internal/configuration"
)

// EntryStatus is the state of one entry as the responding entry knows it.
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
