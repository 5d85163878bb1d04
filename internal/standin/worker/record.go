package worker

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform/api"
)

// record is the state of a task. It is a value; the lock of its shard guards it.
type record struct {
	job      string
	work     Work
	state    fleet.TaskState // as of asOf
	started  time.Time
	asOf     time.Time
	progress time.Duration // progress at full speed, as of asOf
	percent  int
	detail   string
}

// advance returns r as of now.
func (r record) advance(now time.Time, f Faults) record {
	if r.state != fleet.TaskRunning {
		return r
	}
	if r.work.Fails || f.FailAll {
		r.state, r.detail, r.asOf = fleet.TaskFailed, "exit status 1", now
		return r
	}
	speed := float64(r.percent) / api.UnthrottledPercent / float64(max(f.SlowFactor, 1))
	r.progress += time.Duration(float64(now.Sub(r.asOf)) * speed)
	r.asOf = now
	if r.progress >= time.Duration(r.work.RunMillis)*time.Millisecond {
		r.state = fleet.TaskFinished
	}
	return r
}

// end returns r with the given state if r is running, else r unchanged.
func (r record) end(state fleet.TaskState) record {
	if r.state == fleet.TaskRunning {
		r.state = state
	}
	return r
}

// uses returns the actual usage of the task.
func (r record) uses() fleet.Resources {
	uses := r.work.Uses
	uses.MilliCores = uses.MilliCores * r.percent / api.UnthrottledPercent
	return uses
}

// report returns the worker's report on r. It has no usage in the first lag of the
// run.
func (r record) report(id string, lag time.Duration) Report {
	ran := r.asOf.Sub(r.started)
	t := api.Task{ID: id, State: r.state, Percent: r.percent, RanMillis: ran.Milliseconds(), Detail: r.detail}
	if ran >= lag {
		t.Usage = r.uses()
	}
	return Report{Task: t, Known: !r.started.IsZero(), DoneMillis: r.progress.Milliseconds()}
}
