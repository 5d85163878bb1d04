package scheduler

import "time"

// Event is something rare that tells owners' and workers' incarnations apart
// afterwards. Fields that a kind does not name are zero.
type Event struct {
	Kind        EventKind
	Worker      string
	Task        TaskID
	Attempt     int
	Number      int64         // of the end, or up to which ends of the incarnation that is over may be forgotten
	Incarnation int64         // Unix time of the incarnation's start, in milliseconds
	OwnedFor    time.Duration // of the ownership
}
