package platform

import "time"

// taskMark is what the stand-in keeps of one task ID of a worker.
type taskMark struct {
	ordered   bool      // it was passed on to the worker
	address   string    // of the worker then; one that restarted has another
	withdrawn time.Time // since when it is never passed on; zero: it may be
}
