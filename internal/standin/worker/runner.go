package worker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
)

// Runner is a stand-in worker. Its tasks are in shards by ID, its faults in a cell.
type Runner struct {
	clock  clockwork.Clock
	faults *shard.Cell[Faults]
	tasks  *shard.Map[string, record]
	starts *shard.Map[string, int] // by job
}

var _ API = (*Runner)(nil)

// NewRunner returns a worker without tasks or faults.
func NewRunner(clock clockwork.Clock) *Runner {
	return &Runner{clock: clock, faults: shard.NewCell(Faults{}), tasks: shard.NewMap[string, record](), starts: shard.NewMap[string, int]()}
}

// SetFaults replaces the injected faults.
func (r *Runner) SetFaults(f Faults) {
	r.faults.Update(func(Faults) (Faults, bool) { return f, true })
}

// Run implements API.
func (r *Runner) Run(ctx context.Context, task string, order Order) (Report, error) {
	return r.change(ctx, task, func(old record, known bool, now time.Time) record {
		if known {
			return old
		}
		r.starts.Update(order.Request.Job, func(n int, _ bool) (int, bool) { return n + 1, true })
		return record{job: order.Request.Job, work: parseWork(order.Request.Work, order.Request.Size), state: fleet.TaskRunning,
			started: now, asOf: now, progress: time.Duration(order.DoneMillis) * time.Millisecond, percent: api.UnthrottledPercent}
	})
}

// Show implements API.
func (r *Runner) Show(ctx context.Context, task string) (Report, error) {
	if err := r.waitIfSilent(ctx); err != nil {
		return Report{}, err
	}
	if _, known := r.tasks.Get(task); !known {
		return Report{}, nil
	}
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old })
}

// Checkpoint implements API.
func (r *Runner) Checkpoint(ctx context.Context, task string) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old.end(fleet.TaskCheckpointed) })
}

// Throttle implements API.
func (r *Runner) Throttle(ctx context.Context, task string, percent int) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record {
		old.percent = min(max(percent, 1), api.UnthrottledPercent)
		return old
	})
}

// Withdraw implements API.
func (r *Runner) Withdraw(ctx context.Context, task string) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old.end(fleet.TaskStopped) })
}

// change replaces the record of a task by what change makes of it as of now, and
// returns the report. A task that was never run gets an empty record, so that its
// ID can no longer be run.
func (r *Runner) change(ctx context.Context, task string, change func(old record, known bool, now time.Time) record) (Report, error) {
	if err := r.waitIfSilent(ctx); err != nil {
		return Report{}, err
	}
	f, now := r.faults.Get(), r.clock.Now()
	var report Report
	r.tasks.Update(task, func(old record, known bool) (record, bool) {
		changed := change(old.advance(now, f), known, now)
		report = changed.report(task, time.Duration(f.LagMillis)*time.Millisecond)
		return changed, true
	})
	return report, nil
}

// waitIfSilent blocks until ctx ends and returns its error if the worker is silent.
func (r *Runner) waitIfSilent(ctx context.Context) error {
	if !r.faults.Get().Silent {
		return nil
	}
	<-ctx.Done()
	return problem.Wrap(problem.Timeout, problem.StepTask, "", ctx.Err())
}

// Started returns the number of tasks of the job that were started.
func (r *Runner) Started(job string) int {
	n, _ := r.starts.Get(job)
	return n
}

// Load returns the present usage and the number of tasks started.
func (r *Runner) Load() Load {
	f, now := r.faults.Get(), r.clock.Now()
	l := Load{Running: make(map[string]fleet.Resources), Starts: make(map[string]int)}
	r.tasks.Range(func(_ string, t record) bool {
		if t = t.advance(now, f); t.state == fleet.TaskRunning {
			l.Running[t.job] = l.Running[t.job].Plus(t.uses())
		}
		return true
	})
	r.starts.Range(func(job string, n int) bool { l.Starts[job] = n; return true })
	return l
}
