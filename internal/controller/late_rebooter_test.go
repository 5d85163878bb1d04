package controller_test

import (
	"context"
	"fmt"
	"time"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/problem"
)

// Extent of the faults during reboot requests.
const (
	longestPause   = 3 * time.Minute
	briefFailure   = 6 * time.Second
	pausedRequests = 3 // one request in so many is paused
)

// lateRebooter is one controller's connection to the platform. The controller
// is paused before and after it reads the record, and its requests take up to
// their deadline, while all other entries continue.
type lateRebooter struct {
	*simWave
	entry           *simEntry
	pauses          int      // number of pauses
	rebootedServing []string // requests that reached an instance in service
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
	stored := l.stored()
	if r := stored.Records[id]; r.Phase == maintenance.Serving {
		l.rebootedServing = append(l.rebootedServing, fmt.Sprintf("%s at %s by %s", id, l.now().Format("15:04:05"), l.entry.id))
	}
	return l.simWave.Reboot(ctx, id)
}

// maybePause pauses the controller at times, for up to longestPause, which
// exceeds the fence, the control lease and every other limit.
func (l *lateRebooter) maybePause() {
	if l.random.IntN(pausedRequests) == 0 {
		l.pause(time.Duration(l.random.Int64N(int64(longestPause))))
	}
}

// briefFailure at times takes an instance down for a few seconds, so that the
// list shows it down without a reboot.
func (l *lateRebooter) briefFailure(id string) {
	if l.random.IntN(2) == 0 {
		l.takeDown(id)
		l.downUntil[id] = l.now().Add(briefFailure)
	}
}

// pause advances the clock while the controller's entry is paused and all
// others continue.
func (l *lateRebooter) pause(d time.Duration) {
	if l.entry.paused {
		return
	}
	l.pauses++
	l.entry.paused = true
	for until := l.now().Add(d); l.now().Before(until); {
		l.advance(min(waveTick, until.Sub(l.now())))
		l.endFailures()
		l.entriesAct()
	}
	l.entry.paused = false
}
