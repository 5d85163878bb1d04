package work

import "time"

// Event is something rare that tells owners' and workers' lives apart
// afterwards. Fields that a kind does not name are zero.
type Event struct {
	Kind    EventKind
	Worker  string
	Task    TaskID
	Attempt int
	Number  int64         // of the end, or up to which ends of the life that is over may be forgotten
	Born    int64         // Unix time of the life's start, in milliseconds
	Age     time.Duration // of the tenure
}
