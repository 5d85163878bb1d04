package scheduler

import "time"

// Event describes a rare change that is logged, so that the logs show which
// incarnations of workers and which owners of a pool were involved. Fields that the
// comment on its kind does not name are zero, except OwnedFor.
type Event struct {
	Kind        EventKind
	Worker      string
	Task        TaskID
	Attempt     int
	Number      int64         // of the end; for a restart: ends of the former incarnation up to this number may be acknowledged
	Incarnation int64         // start of the worker's process, Unix time in milliseconds
	OwnedFor    time.Duration // how long the owner had the pool at that time
}
