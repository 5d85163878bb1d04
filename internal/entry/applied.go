package entry

import "time"

// applied tells which records the routes follow.
type applied struct {
	revision uint64    // the latest
	at       time.Time // since when
	settled  uint64    // followed for so long that no placement by older ones is still to come
	known    time.Time // when configuration, list and records were first known; zero: not yet
}
