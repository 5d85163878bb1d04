package scheduler

import "time"

// PollReply is a worker's reply to a lease poll. It lists the runs that go on there
// and those that have ended.
type PollReply struct {
	Worker      string
	SentAt      time.Time // when the poll was sent, on this process's monotonic clock
	ReceivedAt  time.Time
	Wait        time.Duration // how long the worker might hold the reply back
	AckedEnds   int64         // ends up to this number were acknowledged by the poll, if it reached the incarnation that it named
	Token       int64         // fencing token of the poll
	Incarnation int64         // start of the worker's process, Unix time in milliseconds
	Clock       int64         // the worker's clock, in milliseconds
	Running     []RunReport
	Ends        []EndReport
	Partial     bool // the worker may have more ends than are listed
}
