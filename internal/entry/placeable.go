package entry

import "persimmonbay/internal/configuration"

// placeable tells what the placer of slots has taken over: requests are placed
// by nothing newer.
type placeable struct {
	version  configuration.Version
	revision uint64 // of the records that the routes followed
}
