package main

import (
	"time"
)

// ticketInfo is a ticket that the advice service granted.
type ticketInfo struct {
	step   string
	runner *runner
	until  time.Time
}
