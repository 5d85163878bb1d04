package message

import "persimmonbay/internal/configuration"

// Status is the fleet as the asked entry sees it.
type Status struct {
	Asked                string                `json:"asked"`
	ConfigurationVersion configuration.Version `json:"configurationVersion"`
	Entries              []EntryStatus         `json:"entries"`
	Instances            int                   `json:"instances"`
}
