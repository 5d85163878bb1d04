package dispatch

import "time"

// place is what is known of an upstream besides its state.
type place struct {
	service string
	slots   int
	timeout time.Duration
}
