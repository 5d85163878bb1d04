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

// taskLease is how long a worker that does not answer keeps a task. Afterwards
// the task is taken to be lost.
const taskLease = 10 * time.Second

// Tasks passes tasks on to workers. It passes an ID on to one process only, and
// never after it was withdrawn; what it keeps is in shards by worker and ID.
type Tasks struct {
	clock    clockwork.Clock
	list     *Instances
	dial     func(fleet.Instance) worker.Face
	marks    *shard.Map[string, taskMark]
	progress *shard.Map[string, int64] // of checkpoints, in milliseconds, by task
}

var _ platform.Tasks = (*Tasks)(nil)

// NewTasks returns the tasks of the workers on a list. dial returns the face of
// a worker.
func NewTasks(clock clockwork.Clock, list *Instances, dial func(fleet.Instance) worker.Face) *Tasks {
	return &Tasks{clock: clock, list: list, dial: dial, marks: shard.NewMap[string, taskMark](), progress: shard.NewMap[string, int64]()}
}

// RunTask implements platform.Tasks.
func (t *Tasks) RunTask(ctx context.Context, id, task string, request api.TaskRequest) (api.Task, error) {
	address, face, listed := t.face(id)
	if !listed {
		return api.Task{}, problem.New(problem.NotFound, problem.StepTask, id, "no such worker")
	}
	before := t.mark(id, task, taskMark{ordered: true, address: address})
	if !before.withdrawn.IsZero() {
		return api.Task{}, problem.New(problem.Conflict, problem.StepTask, id, "the task was withdrawn")
	}
	if before.ordered && before.address != address {
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	done, _ := t.progress.Get(request.ResumeFrom)
	return t.word(task)(face.Run(ctx, task, worker.Order{Request: request, DoneMillis: done}))
}

// Task implements platform.Tasks.
func (t *Tasks) Task(ctx context.Context, id, task string) (api.Task, error) {
	return t.ask(id, task, func(f worker.Face) (worker.Report, error) { return f.Show(ctx, task) })
}

// CheckpointTask implements platform.Tasks.
func (t *Tasks) CheckpointTask(ctx context.Context, id, task string) (api.Task, error) {
	return t.ask(id, task, func(f worker.Face) (worker.Report, error) {
		report, err := f.Checkpoint(ctx, task)
		if err == nil && report.Task.State == fleet.TaskCheckpointed {
			t.progress.Set(task, report.DoneMillis)
		}
		return report, err
	})
}

// ThrottleTask implements platform.Tasks.
func (t *Tasks) ThrottleTask(ctx context.Context, id, task string, percent int) (api.Task, error) {
	return t.ask(id, task, func(f worker.Face) (worker.Report, error) { return f.Throttle(ctx, task, percent) })
}

// WithdrawTask implements platform.Tasks. Of an ordered task whose worker is
// gone nobody knows what became of it.
func (t *Tasks) WithdrawTask(ctx context.Context, id, task string) (api.Task, error) {
	now := t.clock.Now()
	before := t.mark(id, task, taskMark{withdrawn: now})
	address, face, listed := t.face(id)
	switch {
	case !before.ordered:
		return api.Task{ID: task, State: fleet.TaskNeverRan}, nil
	case !listed || address != before.address:
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	word, err := t.word(task)(face.Withdraw(ctx, task))
	if err != nil && !before.withdrawn.IsZero() && now.Sub(before.withdrawn) > taskLease {
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	return word, err
}

// mark adds to what is kept of a task ID and returns what was kept before. A
// withdrawn ID cannot become an ordered one.
func (t *Tasks) mark(id, task string, add taskMark) (before taskMark) {
	t.marks.Update(id+"/"+task, func(old taskMark, _ bool) (taskMark, bool) {
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

// ask asks the worker about a task that was ordered.
func (t *Tasks) ask(id, task string, ask func(worker.Face) (worker.Report, error)) (api.Task, error) {
	mark, _ := t.marks.Get(id + "/" + task)
	address, face, listed := t.face(id)
	switch {
	case !mark.ordered && !mark.withdrawn.IsZero():
		return api.Task{ID: task, State: fleet.TaskNeverRan}, nil
	case !mark.ordered:
		return api.Task{}, problem.New(problem.NotFound, problem.StepTask, id, "no such task")
	case !listed:
		return api.Task{}, problem.New(problem.Unavailable, problem.StepTask, id, "the worker is gone")
	case address != mark.address:
		return api.Task{ID: task, State: fleet.TaskLost}, nil
	}
	return t.word(task)(ask(face))
}

// word turns a worker's report into the platform's word.
func (t *Tasks) word(task string) func(worker.Report, error) (api.Task, error) {
	return func(report worker.Report, err error) (api.Task, error) {
		if err == nil && !report.Known {
			return api.Task{ID: task, State: fleet.TaskLost}, nil
		}
		return report.Task, err
	}
}

func (t *Tasks) face(id string) (address string, face worker.Face, listed bool) {
	instance, listed := t.list.current(id)
	if !listed || instance.Kind != fleet.KindWorker {
		return "", nil, false
	}
	return instance.Address, t.dial(instance), true
}
