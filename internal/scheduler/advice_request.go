package scheduler

import "time"

// AdviceRequest is a request to the advice service for tickets: which of Workers may
// run a step of an occurrence.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
	Timeout    time.Duration // how long the answer may take once the call is sent
}
