package message

import "persimmonbay/internal/configuration"

// Status is the state of the fleet as the responding entry knows it.
type Status struct {
	QueriedEntry         string                `json:"asked"` // ID of the responding entry
	ConfigurationVersion configuration.Version `json:"configurationVersion"`
	Entries              []EntryStatus         `json:"entries"`
	Instances            int                   `json:"instances"`
}
