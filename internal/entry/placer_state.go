package entry

import "persimmonbay/internal/configuration"

// placerState describes what the slot placer works with: requests are placed by
// this version and revision, not by newer ones.
type placerState struct {
	version  configuration.Version
	revision uint64 // of the maintenance records in the routing table
}
