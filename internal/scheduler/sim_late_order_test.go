package scheduler_test

import "time"

// simLateOrder is an order without an answer that is carried out later.
type simLateOrder struct {
	at time.Time
	do func(now time.Time)
}
