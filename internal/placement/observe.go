package placement

import (
	"strconv"
	"time"

	"persimmonbay/internal/fleet"
)

// Observe returns j after a report of its task, and false when the report changes
// nothing. A report of a task other than the latest attempt's is ignored.
func (j Job) Observe(o Observation, now time.Time) (Job, bool) {
	if !j.Phase.Placed() || o.Task != j.Attempt.Task {
		return j, false
	}
	if o.State == fleet.TaskRunning {
		return j.observeRunning(now)
	}
	j.Throttled = false
	j.Peak = j.Peak.Max(o.Usage)
	return j.observeEnd(o, now), true
}

func (j Job) observeRunning(now time.Time) (Job, bool) {
	if j.Phase != Starting {
		return j, false
	}
	return j.enter(Running, now, ""), true
}

// observeEnd returns j after the end of its task.
func (j Job) observeEnd(o Observation, now time.Time) Job {
	switch {
	case o.State == fleet.TaskFinished:
		j.Ran = o.Ran
		return j.enter(Finished, now, "")
	case j.Phase == Cancelling && o.State == fleet.TaskLost && !j.Repeatable:
		return j.enter(Unknown, now, "the worker was lost before it reported the end of the task")
	case j.Phase == Cancelling:
		return j.enter(Cancelled, now, j.Detail)
	case o.State == fleet.TaskNeverRan:
		return j.enter(Queued, now, "the worker did not start it")
	case o.State == fleet.TaskFailed:
		return j.observeFailure(o, now)
	case o.State == fleet.TaskCheckpointed:
		j.ResumeFrom = o.Task
		return j.observeInterruption(now, "checkpointed")
	case o.State == fleet.TaskLost:
		return j.observeInterruption(now, "the worker was lost")
	}
	return j.observeInterruption(now, "the task was stopped")
}

func (j Job) observeFailure(o Observation, now time.Time) Job {
	j = j.withFailure(now)
	if !j.Repeatable {
		return j.enter(Failed, now, "the task failed and the job is not repeatable: "+o.Detail)
	}
	return j.enter(Queued, now, "the task failed on "+j.Attempt.Worker+": "+o.Detail)
}

// observeInterruption queues a repeatable job again. Any other job may have run
// in part, so it never gets a second task and its outcome is unknown.
func (j Job) observeInterruption(now time.Time, detail string) Job {
	if j.Repeatable {
		return j.enter(Queued, now, detail)
	}
	return j.enter(Unknown, now, detail+"; the job is not repeatable")
}

// taskID returns the ID of a job's task, which is unique to the attempt.
func taskID(job string, attempt int) string { return job + "." + strconv.Itoa(attempt) }
