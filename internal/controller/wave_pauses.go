package controller

import (
	"time"

	"persimmonbay/internal/maintenance"
)

// Pauses while a wave runs with fullPauseReservations reserved instances or
// more. With fewer, the pauses are shorter in proportion, since fewer records
// are written. They limit the calls to the platform to less than ten a second.
const (
	waveStepPause            = 2500 * time.Millisecond // between two steps
	waveWatchPause           = 5 * time.Second         // between two watches of the records
	waveControllerWatchPause = 500 * time.Millisecond  // the same, on the entry that holds the control lease
	fullPauseReservations    = maintenance.DefaultMaxDown
	leaseWaitFactor          = 2 // wait of a watch of the control lease, relative to other watches
)

// StepPause returns the shortest time between two steps.
func StepPause(state maintenance.State) time.Duration {
	return max(minStepInterval, scaledPause(waveStepPause, state))
}

// WatchPause returns how long an entry waits after a watch of the records that
// returned changes, so that one call returns several changes. holder is whether
// the entry holds the control lease.
func WatchPause(state maintenance.State, holder bool) time.Duration {
	if holder {
		return scaledPause(waveControllerWatchPause, state)
	}
	return scaledPause(waveWatchPause, state)
}

// scaledPause returns the part of a pause that applies in the present state of
// the wave; zero if no wave runs.
func scaledPause(pause time.Duration, state maintenance.State) time.Duration {
	if state.Wave.State != maintenance.WaveRunning {
		return 0
	}
	return pause * time.Duration(min(len(state.Disruptions.Reservations), fullPauseReservations)) / fullPauseReservations
}

// LeaseWait returns the longest wait of one watch of the control lease, given
// that of other watches.
func LeaseWait(wait time.Duration) time.Duration { return leaseWaitFactor * wait }
