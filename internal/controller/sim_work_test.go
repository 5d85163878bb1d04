package controller_test

import "time"

// simWork is one request under way on an instance.
type simWork struct {
	instance string
	pool     string
	until    time.Time
}
