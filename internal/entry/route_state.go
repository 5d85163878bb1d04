package entry

import "time"

// routeState describes which revision of the maintenance records the routing
// table is built from.
type routeState struct {
	revision   uint64    // of the current table
	since      time.Time // when the table was first built from revision
	settled    uint64    // latest revision in use for so long that no placement by an older one can still appear
	knownSince time.Time // when configuration, instance list and records were first all known; zero: not yet
}
