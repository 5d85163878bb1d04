package routing

import "time"

// LeavingMark is an instance's own word that it is leaving.
type LeavingMark struct {
	Instance string
	Heard    time.Time // by the entry that heard it first-hand
}
