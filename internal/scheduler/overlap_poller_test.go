package scheduler_test

import "time"

// overlapPoller is the state of the poller of one worker. It follows poolmanager's poller.
type overlapPoller struct {
	worker    string
	address   string
	retry     time.Duration // pause after the next poll without a reply
	idle      bool          // it waits for a kick
	pausedAt  time.Time     // since when it waits for ends to be saved; zero: it does not wait
	kicked    bool
	endWait   func() // ends the wait of the poll in progress; nil: none has one
	connected bool   // it has a connection, on which the last poll was answered
}
