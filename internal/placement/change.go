package placement

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// Start returns j with a new attempt on the worker, and false when j is not
// queued or an earlier attempt forbids another.
func (j Job) Start(worker string, now time.Time) (Job, bool) {
	if j.Phase != Queued {
		return j, false
	}
	number := j.Attempt.Number + 1
	j.Attempt = Attempt{Number: number, Task: taskID(j.ID, number), Worker: worker, Since: now}
	return j.enter(Starting, now, ""), true
}

// Preempt returns j with room taken from it, and false when j cannot give any
// in this way. A job that must not be repeated is never checkpointed, since it
// would have to start again.
func (j Job) Preempt(p Preemption, now time.Time) (Job, bool) {
	if j.Phase != Starting && j.Phase != Running {
		return j, false
	}
	if p.Method == Throttle {
		changed := !j.Throttled
		j.Throttled, j.Detail = true, p.Reason
		return j, changed
	}
	if !j.Repeatable {
		return j, false
	}
	return j.enter(Leaving, now, p.Reason), true
}

// Restore returns j with all its processors, and false when it has them.
func (j Job) Restore() (Job, bool) {
	if !j.Throttled || j.Phase.Ended() {
		return j, false
	}
	j.Throttled, j.Detail = false, ""
	return j, true
}

// Cancel returns j on its way to its end. A job that may have been ordered is
// cancelled only once its task can no longer start. Errors are *problem.Error.
func (j Job) Cancel(by string, now time.Time) (Job, error) {
	detail := "cancelled by " + by
	switch {
	case j.Phase == Queued:
		return j.enter(Cancelled, now, detail), nil
	case j.Phase == Cancelling || j.Phase == Cancelled:
		return j, nil
	case j.Phase.Ended():
		return j, problem.New(problem.Conflict, problem.StepPlace, j.ID, "the job has ended: "+string(j.Phase))
	}
	return j.enter(Cancelling, now, detail), nil
}

// GiveUp returns j failed for good, and false when it is not queued.
func (j Job) GiveUp(now time.Time, detail string) (Job, bool) {
	if j.Phase != Queued {
		return j, false
	}
	return j.enter(Failed, now, detail), true
}

// Lose returns j without its task, whose worker is gone.
func (j Job) Lose(now time.Time) (Job, bool) {
	return j.Observe(Observation{Task: j.Attempt.Task, State: fleet.TaskLost}, now)
}
