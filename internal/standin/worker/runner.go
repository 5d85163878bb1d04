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

// Runner is one stand-in worker: its tasks in shards by ID, its switches in a
// cell.
type Runner struct {
	clock  clockwork.Clock
	faults *shard.Cell[Faults]
	tasks  *shard.Map[string, record]
	starts *shard.Map[string, int] // by job
}

var _ Face = (*Runner)(nil)

// NewRunner returns a healthy worker without tasks.
func NewRunner(clock clockwork.Clock) *Runner {
	return &Runner{clock: clock, faults: shard.NewCell(Faults{}), tasks: shard.NewMap[string, record](), starts: shard.NewMap[string, int]()}
}

// SetFaults throws the switches.
func (r *Runner) SetFaults(f Faults) {
	r.faults.Update(func(Faults) (Faults, bool) { return f, true })
}

// Run implements Face.
func (r *Runner) Run(ctx context.Context, task string, order Order) (Report, error) {
	return r.change(ctx, task, func(old record, known bool, now time.Time) record {
		if known {
			return old
		}
		r.starts.Update(order.Request.Job, func(n int, _ bool) (int, bool) { return n + 1, true })
		return record{job: order.Request.Job, work: parseWork(order.Request.Work, order.Request.Size), state: fleet.TaskRunning,
			started: now, at: now, done: time.Duration(order.DoneMillis) * time.Millisecond, percent: api.WholePercent}
	})
}

// Show implements Face.
func (r *Runner) Show(ctx context.Context, task string) (Report, error) {
	if err := r.answers(ctx); err != nil {
		return Report{}, err
	}
	if _, known := r.tasks.Get(task); !known {
		return Report{}, nil
	}
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old })
}

// Checkpoint implements Face.
func (r *Runner) Checkpoint(ctx context.Context, task string) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old.end(fleet.TaskCheckpointed) })
}

// Throttle implements Face.
func (r *Runner) Throttle(ctx context.Context, task string, percent int) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record {
		old.percent = min(max(percent, 1), api.WholePercent)
		return old
	})
}

// Withdraw implements Face.
func (r *Runner) Withdraw(ctx context.Context, task string) (Report, error) {
	return r.change(ctx, task, func(old record, _ bool, _ time.Time) record { return old.end(fleet.TaskStopped) })
}

// change replaces the record of a task, as it is now. A task that was never run
// gets an empty record, which keeps its ID from being run.
func (r *Runner) change(ctx context.Context, task string, change func(old record, known bool, now time.Time) record) (Report, error) {
	if err := r.answers(ctx); err != nil {
		return Report{}, err
	}
	f, now := r.faults.Get(), r.clock.Now()
	var report Report
	r.tasks.Update(task, func(old record, known bool) (record, bool) {
		changed := change(old.after(now, f), known, now)
		report = changed.report(task, time.Duration(f.LagMillis)*time.Millisecond)
		return changed, true
	})
	return report, nil
}

// answers waits in vain while the worker is silent.
func (r *Runner) answers(ctx context.Context) error {
	if !r.faults.Get().Silent {
		return nil
	}
	<-ctx.Done()
	return problem.Wrap(problem.Timeout, problem.StepTask, "", ctx.Err())
}

// Started returns how often a task of the job was started.
func (r *Runner) Started(job string) int {
	n, _ := r.starts.Get(job)
	return n
}

// Load returns what the worker does now and has started.
func (r *Runner) Load() Load {
	f, now := r.faults.Get(), r.clock.Now()
	l := Load{Running: make(map[string]fleet.Resources), Starts: make(map[string]int)}
	r.tasks.Range(func(_ string, t record) bool {
		if t = t.after(now, f); t.state == fleet.TaskRunning {
			l.Running[t.job] = l.Running[t.job].Plus(t.uses())
		}
		return true
	})
	r.starts.Range(func(job string, n int) bool { l.Starts[job] = n; return true })
	return l
}
