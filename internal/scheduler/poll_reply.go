package scheduler

import "time"

// PollReply is a worker's reply to a lease poll: what runs there and what has
// ended.
type PollReply struct {
	Worker      string
	SentAt      time.Time // steady clock of this process
	ReceivedAt  time.Time
	AckedEnds   int64 // ends up to this number were acknowledged
	Incarnation int64 // Unix time of the worker's start, in milliseconds
	Clock       int64 // the worker's own clock, in milliseconds
	Running     []RunReport
	Ends        []EndReport
	Partial     bool // there may be more ends than are listed
}
