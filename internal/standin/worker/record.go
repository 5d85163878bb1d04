package worker

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform/api"
)

// record is one task. It is a value; the lock of its shard guards it.
type record struct {
	job     string
	work    Work
	state   fleet.TaskState // as of at
	started time.Time
	at      time.Time
	done    time.Duration // progress at full speed, as of at
	percent int
	detail  string
}

// after returns r as it is at now.
func (r record) after(now time.Time, f Faults) record {
	if r.state != fleet.TaskRunning {
		return r
	}
	if r.work.Fails || f.FailAll {
		r.state, r.detail, r.at = fleet.TaskFailed, "exit status 1", now
		return r
	}
	speed := float64(r.percent) / api.WholePercent / float64(max(f.SlowFactor, 1))
	r.done += time.Duration(float64(now.Sub(r.at)) * speed)
	r.at = now
	if r.done >= time.Duration(r.work.RunMillis)*time.Millisecond {
		r.state = fleet.TaskFinished
	}
	return r
}

// end returns a running r in another state.
func (r record) end(state fleet.TaskState) record {
	if r.state == fleet.TaskRunning {
		r.state = state
	}
	return r
}

// uses returns what the task really uses.
func (r record) uses() fleet.Resources {
	uses := r.work.Uses
	uses.MilliCores = uses.MilliCores * r.percent / api.WholePercent
	return uses
}

// report returns the worker's word on r. Usage lags.
func (r record) report(id string, lag time.Duration) Report {
	ran := r.at.Sub(r.started)
	t := api.Task{ID: id, State: r.state, Percent: r.percent, RanMillis: ran.Milliseconds(), Detail: r.detail}
	if ran >= lag {
		t.Usage = r.uses()
	}
	return Report{Task: t, Known: !r.started.IsZero(), DoneMillis: r.done.Milliseconds()}
}
