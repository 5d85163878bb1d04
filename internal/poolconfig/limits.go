package poolconfig

import "time"

// Limits bounds what a caller may send and how long it may take. A zero value means that the
// configuration sets no such limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // from the first byte of a request's header to its last
	IdleTimeout    time.Duration // of a connection without a request
}
