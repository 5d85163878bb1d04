package routing

import "time"

// LeavingMark is an instance's own word that it is leaving.
type LeavingMark struct {
	Instance   string
	ReceivedAt time.Time // by the entry to which the instance reported it
}
