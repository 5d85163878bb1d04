package poolmanager

import "time"

// emptyEntry tells how far a machine is emptied.
type emptyEntry struct {
	revision int64
	by       time.Time // when its upkeep should be over
	emptied  bool
}
