package work

import "time"

// LookRequest is what a worker is asked and told in one look.
type LookRequest struct {
	Worker   string
	Address  string
	Token    int64 // fencing token
	Observed int64 // ends up to this number may be forgotten
	Deadline int64 // on the worker's clock, in milliseconds; 0: unknown, extend nothing
	Wait     time.Duration
}
