package latecalls

import (
	"fmt"
	"time"
)

// call is a call that has reached a worker's address.
type call struct {
	callBody
	path       string
	expected   string    // the worker that it is for; empty: any
	sentTo     int       // the incarnation that had the address then
	receivedAt time.Time // when it reached the address
	late       bool      // it got no answer, and is carried out after newer calls
}

// Paths of the calls to a worker.
const (
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
	pollPath  = "/-/hold"
	pacePath  = "/-/pace"
)

func (c *call) text() string {
	if c.path == pollPath {
		return fmt.Sprintf("poll (observed %d, deadline %d, token %d)", c.Observed, c.Deadline, c.Token)
	}
	return fmt.Sprintf("%s of %s attempt %d (deadline %d, token %d)", c.path, c.Task, c.Attempt, c.Deadline, c.Token)
}
