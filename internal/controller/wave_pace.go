package controller

import (
	"time"

	"persimmonbay/internal/maintenance"
)

// Pauses while a wave runs that has paceFull instances or more reserved; with
// fewer they are shorter in proportion, since fewer records are written. They
// keep the calls to the platform under ten a second.
const (
	waveStepPause        = 2500 * time.Millisecond // between two steps
	waveWatchPause       = 5 * time.Second         // between two watches of the records
	waveHolderWatchPause = 500 * time.Millisecond  // the same, of the entry that plans from them
	paceFull             = maintenance.DefaultAtOnce
	leaseWaitFactor      = 2 // of a watch of the control lease, against other watches
)

// StepPause returns the least time between two steps.
func StepPause(state maintenance.State) time.Duration {
	return max(stepPause, scaled(waveStepPause, state))
}

// WatchPause returns how long an entry waits for further changes to gather
// after a watch of the records brought some.
func WatchPause(state maintenance.State, holder bool) time.Duration {
	if holder {
		return scaled(waveHolderWatchPause, state)
	}
	return scaled(waveWatchPause, state)
}

// scaled returns the part of a pause that a running wave needs.
func scaled(pause time.Duration, state maintenance.State) time.Duration {
	if state.Wave.State != maintenance.WaveRunning {
		return 0
	}
	return pause * time.Duration(min(len(state.Disruptions.Reservations), paceFull)) / paceFull
}

// LeaseWait returns how long one watch of the control lease waits, given the
// wait of other watches.
func LeaseWait(wait time.Duration) time.Duration { return leaseWaitFactor * wait }
