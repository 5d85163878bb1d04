package membership

import (
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/routing"
)

// Heartbeat tells that an entry is alive and what it has in force.
type Heartbeat struct {
	Entry                EntryID
	ConfigurationVersion configuration.Version
	Leaving              bool
	StoreReachable       bool
	LeavingUpstreams     []routing.LeavingMark // instances that said themselves that they are leaving
}
