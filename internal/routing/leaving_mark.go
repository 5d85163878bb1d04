package routing

import "time"

// LeavingMark is an instance's report that it is leaving.
type LeavingMark struct {
	Instance   string
	ReceivedAt time.Time // when the entry that the instance reported to received it
}
