package scheduler

import "time"

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Worker  string
	Address string
	Task    TaskID
	Attempt int
	Token   int64 // fencing token
	// Incarnation is the worker's incarnation that was known when the stop was ordered: the
	// start of its process, Unix time in milliseconds; 0: none. Any may carry the stop out.
	Incarnation int64
	SentAt      time.Time
	Timeout     time.Duration // how long its answer is waited for
	Copies      int           // copies before this one that got no answer
}
