package placement

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
)

// Start returns j with a new attempt on the worker, and false when j is not
// queued. A job that has run and is not repeatable never returns to the queue.
func (j Job) Start(worker string, now time.Time) (Job, bool) {
	if j.Phase != Queued {
		return j, false
	}
	number := j.Attempt.Number + 1
	j.Attempt = Attempt{Number: number, Task: taskID(j.ID, number), Worker: worker, Since: now}
	return j.enter(Starting, now, ""), true
}

// Preempt returns j throttled or about to be checkpointed, as p.Method says, and
// false when that changes nothing or is not possible. A job that is not
// repeatable is never checkpointed, since it would have to start again.
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

// Restore returns j no longer throttled, and false when it is not throttled or
// has ended.
func (j Job) Restore() (Job, bool) {
	if !j.Throttled || j.Phase.Ended() {
		return j, false
	}
	j.Throttled, j.Detail = false, ""
	return j, true
}

// Cancel returns j cancelled, or cancelling when its task may have been ordered:
// such a job is cancelled only once its task can no longer start. A job that
// ended otherwise yields a *problem.Error of kind Conflict.
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

// GiveUp returns j in phase Failed, and false when it is not queued.
func (j Job) GiveUp(now time.Time, detail string) (Job, bool) {
	if j.Phase != Queued {
		return j, false
	}
	return j.enter(Failed, now, detail), true
}

// Lose returns j after the loss of its worker, and false when j is not placed.
func (j Job) Lose(now time.Time) (Job, bool) {
	return j.Observe(Observation{Task: j.Attempt.Task, State: fleet.TaskLost}, now)
}
