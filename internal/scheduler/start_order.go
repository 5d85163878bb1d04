package scheduler

import "time"

// StartOrder orders a worker to start a task.
type StartOrder struct {
	Worker      string
	Address     string
	Incarnation int64 // the only one that may carry it out: the start of the worker's process, Unix time in milliseconds; 0: any
	Task        TaskID
	Attempt     int
	Spec        string
	Checkpoint  string
	Ticket      string
	Token       int64         // fencing token
	Deadline    int64         // until which the worker may accept it, on its clock, in milliseconds
	Timeout     time.Duration // how long its answer is waited for
	Copies      int           // earlier copies of the same start
	SentAt      time.Time     // on this process's monotonic clock
	LeaseEndsAt time.Time     // for the logs, as SentAt: by then all leases on the worker have expired, as the owner reckons
	ClockReadAt time.Time     // for the logs, as SentAt: when the reading of the worker's clock was received on which Deadline rests
}
