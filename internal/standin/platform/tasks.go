package platform

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/shard"
	"persimmonbay/internal/standin/worker"
)

// taskLease is the time after the withdrawal of a task from which the task counts
// as lost if its worker does not answer.
const taskLease = 10 * time.Second

// Tasks forwards task orders to workers. It forwards a task ID to one process of
// the worker only, and never after the ID was withdrawn. Its records are in shards
// by worker and task ID.
type Tasks struct {
	clock    clockwork.Clock
	list     *Instances
	dial     func(fleet.Instance) worker.API
	records  *shard.Map[string, taskRecord]
	progress *shard.Map[string, int64] // of the task's checkpoint, in milliseconds at full speed, by task
}

var _ platform.Tasks = (*Tasks)(nil)

// NewTasks returns the tasks of the workers on list. dial returns the interface to
// a worker.
func NewTasks(clock clockwork.Clock, list *Instances, dial func(fleet.Instance) worker.API) *Tasks {
	return &Tasks{clock: clock, list: list, dial: dial, records: shard.NewMap[string, taskRecord](), progress: shard.NewMap[string, int64]()}
}

// RunTask implements platform.Tasks.
func (t *Tasks) RunTask(ctx context.Context, id, task string, request api.TaskRequest) (api.Task, error) {
	address, face, listed := t.workerAPI(id)
	if !listed {
		return api.Task{}, problem.New(problem.NotFound, problem.StepTask, id, "cannot run the task: the worker is not listed")
	}
	before := t.update(id, task, taskRecord{ordered: true, address: address})
	if !before.withdrawn.IsZero() {
		return api.Task{}, problem.New(problem.Conflict, problem.StepTask, id, "cannot run the task: it was withdrawn")
	}
	if before.ordered && before.address != address {
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	done, _ := t.progress.Get(request.ResumeFrom)
	return t.taskOf(task)(face.Run(ctx, task, worker.Order{Request: request, DoneMillis: done}))
}

// Task implements platform.Tasks.
func (t *Tasks) Task(ctx context.Context, id, task string) (api.Task, error) {
	return t.call(id, task, func(f worker.API) (worker.Report, error) { return f.Show(ctx, task) })
}

// CheckpointTask implements platform.Tasks.
func (t *Tasks) CheckpointTask(ctx context.Context, id, task string) (api.Task, error) {
	return t.call(id, task, func(f worker.API) (worker.Report, error) {
		report, err := f.Checkpoint(ctx, task)
		if err == nil && report.Task.State == fleet.TaskCheckpointed {
			t.progress.Set(task, report.DoneMillis)
		}
		return report, err
	})
}

// ThrottleTask implements platform.Tasks.
func (t *Tasks) ThrottleTask(ctx context.Context, id, task string, percent int) (api.Task, error) {
	return t.call(id, task, func(f worker.API) (worker.Report, error) { return f.Throttle(ctx, task, percent) })
}

// WithdrawTask implements platform.Tasks. A forwarded task is lost if its worker
// is no longer listed at the same address, or does not answer for taskLease after
// the first withdrawal.
func (t *Tasks) WithdrawTask(ctx context.Context, id, task string) (api.Task, error) {
	now := t.clock.Now()
	before := t.update(id, task, taskRecord{withdrawn: now})
	address, face, listed := t.workerAPI(id)
	switch {
	case !before.ordered:
		return api.Task{ID: task, State: fleet.TaskNeverRan}, nil
	case !listed || address != before.address:
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	withdrawn, err := t.taskOf(task)(face.Withdraw(ctx, task))
	if err != nil && !before.withdrawn.IsZero() && now.Sub(before.withdrawn) > taskLease {
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	return withdrawn, err
}

// update adds an order or a withdrawal to the record of a task ID and returns the
// record before. An ID that was withdrawn first cannot become ordered.
func (t *Tasks) update(id, task string, add taskRecord) (before taskRecord) {
	t.records.Update(id+"/"+task, func(old taskRecord, _ bool) (taskRecord, bool) {
		before = old
		if add.ordered && !old.ordered && old.withdrawn.IsZero() {
			old.ordered, old.address = true, add.address
		}
		if old.withdrawn.IsZero() {
			old.withdrawn = add.withdrawn
		}
		return old, true
	})
	return before
}

// call calls the worker about a task that was forwarded to it.
func (t *Tasks) call(id, task string, do func(worker.API) (worker.Report, error)) (api.Task, error) {
	record, _ := t.records.Get(id + "/" + task)
	address, face, listed := t.workerAPI(id)
	switch {
	case !record.ordered && !record.withdrawn.IsZero():
		return api.Task{ID: task, State: fleet.TaskNeverRan}, nil
	case !record.ordered:
		return api.Task{}, problem.New(problem.NotFound, problem.StepTask, id, "the task does not exist")
	case !listed:
		return api.Task{}, problem.New(problem.Unavailable, problem.StepTask, id, "the worker is no longer listed")
	case address != record.address:
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	return t.taskOf(task)(do(face))
}

// taskOf returns a function that turns a worker's report into the platform's task.
// A task unknown to the worker is lost.
func (t *Tasks) taskOf(task string) func(worker.Report, error) (api.Task, error) {
	return func(report worker.Report, err error) (api.Task, error) {
		if err == nil && !report.Known {
			return api.Task{ID: task, State: fleet.TaskLost}, nil
		}
		return report.Task, err
	}
}

// workerAPI returns the address of a worker and the interface to it, and whether it
// is listed.
func (t *Tasks) workerAPI(id string) (address string, face worker.API, listed bool) {
	instance, listed := t.list.current(id)
	if !listed || instance.Kind != fleet.KindWorker {
		return "", nil, false
	}
	return instance.Address, t.dial(instance), true
}
