package membership

import "persimmonbay/internal/configuration"

// Heartbeat tells that an entry is alive and what it has in force.
type Heartbeat struct {
	Entry                EntryID
	ConfigurationVersion configuration.Version
	Leaving              bool
	StoreReachable       bool
	MaintenanceRevision  uint64 // of the pool records that it acts on
}
