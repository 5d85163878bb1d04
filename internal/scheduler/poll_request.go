package scheduler

import "time"

// PollRequest is a lease poll: it extends the lease of all that runs on a worker,
// acknowledges ends and asks what runs there.
type PollRequest struct {
	Worker    string
	Address   string
	Token     int64 // fencing token
	AckedEnds int64 // ends up to this number are acknowledged
	Deadline  int64 // on the worker's clock, in milliseconds; 0: unknown, extend nothing
	Wait      time.Duration
}
