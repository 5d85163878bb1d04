package controller_test

import (
	"context"
	"fmt"
	"time"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
)

// Extent of the pauses of a controller that reboots.
const (
	longestPause   = 3 * time.Minute
	briefFailure   = 6 * time.Second
	pausedRequests = 3 // one in so many requests to reboot meets a pause
)

// lateRebooter is one controller's way to the platform. The controller is
// paused before and after its look at the record, and its requests take until
// their deadline at most, while all others go on.
type lateRebooter struct {
	*simWave
	entry *simEntry
	late  int      // requests that met a pause
	hits  []string // requests that met an instance that serves
}

// Reboot implements platform.Rebooter.
func (l *lateRebooter) Reboot(ctx context.Context, id string) error {
	if deadline, bounded := ctx.Deadline(); bounded && l.random.IntN(pausedRequests) == 0 {
		l.briefFailure(id)
		l.pause(time.Duration(l.random.Int64N(max(1, int64(deadline.Sub(l.now()))))))
		if !l.now().Before(deadline) {
			return problem.New(problem.Timeout, problem.StepReboot, id, "deadline")
		}
	}
	truth := l.truth()
	if r := truth.Records[id]; r.Phase == maintenance.Serving {
		l.hits = append(l.hits, fmt.Sprintf("%s at %s by %s", id, l.now().Format("15:04:05"), l.entry.id))
	}
	return l.simWave.Reboot(ctx, id)
}

// maybePause pauses the controller at times, for longer than any limit.
func (l *lateRebooter) maybePause() {
	if l.random.IntN(pausedRequests) == 0 {
		l.pause(time.Duration(l.random.Int64N(int64(longestPause))))
	}
}

// briefFailure takes an instance down for seconds, so that the list shows it
// down without a reboot.
func (l *lateRebooter) briefFailure(id string) {
	if l.random.IntN(2) == 0 {
		l.takeDown(id)
		l.fails[id] = l.now().Add(briefFailure)
	}
}

// pause lets time pass for everyone but the controller's entry.
func (l *lateRebooter) pause(d time.Duration) {
	if l.entry.paused {
		return
	}
	l.late++
	l.entry.paused = true
	for until := l.now().Add(d); l.now().Before(until); {
		l.advance(min(waveTick, until.Sub(l.now())))
		l.endFailures()
		l.entriesAct()
	}
	l.entry.paused = false
}
