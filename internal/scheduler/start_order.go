package scheduler

import "time"

// StartOrder tells a worker to start a task.
type StartOrder struct {
	Worker     string
	Address    string
	Task       TaskID
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string
	Token      int64     // fencing token
	Deadline   int64     // on the worker's clock, in milliseconds
	SentAt     time.Time // steady clock of this process
}
