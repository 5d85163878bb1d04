package platform

import "time"

// taskRecord is what the stand-in stores of a task ID of a worker.
type taskRecord struct {
	ordered   bool      // the order was forwarded to the worker
	address   string    // of the worker at that time; it changes with a restart
	withdrawn time.Time // when the ID was withdrawn, after which it is never forwarded; zero: not withdrawn
}
