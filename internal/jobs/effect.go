package jobs

import (
	"context"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/platform/api"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

// effect calls the platform about the tasks of placed jobs, as the store holds
// them, and returns whether orders are under way or left for the next step. It
// does not wait for the answers, so that a worker that gives none holds nothing
// up.
func (k *Controller) effect(ctx context.Context, lost map[string]bool, held func() bool) (ordering bool) {
	placed, unwritten := k.placed(), k.unwritten()
	k.forget(placed)
	for i := range placed {
		j := &placed[i]
		call, limiter := k.callFor(j, lost[j.ID])
		ordering = ordering || limiter == k.orders
		if unwritten[j.ID] || !k.begin(j, limiter) {
			continue
		}
		k.calls.Add(1)
		k.Spawn(func() {
			defer k.calls.Done()
			defer k.end(j)
			if held() {
				k.observe(ctx, j, call)
			}
		})
	}
	return ordering
}

// begin reports whether a call about a job's task may be made now, and notes
// that it is under way.
func (k *Controller) begin(j *placement.Job, limiter *rate.Limiter) bool {
	task, _ := k.tracks.Get(j.Attempt.Task)
	atWorker, _ := k.inFlight.Get(j.Attempt.Worker)
	if task.busy || atWorker >= callsPerWorker || !limiter.AllowN(k.clock.Now(), 1) {
		return false
	}
	k.tracks.Update(j.Attempt.Task, func(t track, _ bool) (track, bool) { t.busy = true; return t, true })
	k.inFlight.Update(j.Attempt.Worker, func(n int, _ bool) (int, bool) { return n + 1, true })
	return true
}

func (k *Controller) end(j *placement.Job) {
	k.tracks.Update(j.Attempt.Task, func(t track, known bool) (track, bool) { t.busy = false; return t, known })
	k.inFlight.Update(j.Attempt.Worker, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}

// placed returns the placed jobs: those that something is to be ordered of
// first, the more urgent before others, and then those not called about for
// longest.
func (k *Controller) placed() []placement.Job {
	var placed []placement.Job
	tried := make(map[string]time.Time)
	for _, j := range k.View.Jobs() {
		if j.Phase.Placed() {
			placed = append(placed, j)
			t, _ := k.tracks.Get(j.Attempt.Task)
			tried[j.ID] = t.tried
		}
	}
	sort.Slice(placed, func(a, b int) bool {
		switch ja, jb := &placed[a], &placed[b]; {
		case (ja.Phase == placement.Running) != (jb.Phase == placement.Running):
			return jb.Phase == placement.Running
		case ja.Phase != placement.Running && ja.Class != jb.Class:
			return ja.Class > jb.Class
		}
		return tried[placed[a].ID].Before(tried[placed[b].ID])
	})
	return placed
}

// callFor returns the call that is due about a job, and the limit that it
// counts against.
func (k *Controller) callFor(j *placement.Job, lost bool) (call, *rate.Limiter) {
	worker, task := j.Attempt.Worker, j.Attempt.Task
	withdraw := func(ctx context.Context) (api.Task, error) { return k.tasks.WithdrawTask(ctx, worker, task) }
	switch {
	case lost || j.Phase == placement.Cancelling:
		return withdraw, k.orders
	case j.Phase == placement.Starting:
		request := api.TaskRequest{Job: j.ID, Team: j.Team, Size: j.Size, Work: j.Work, ResumeFrom: j.ResumeFrom}
		return orElse(func(ctx context.Context) (api.Task, error) { return k.tasks.RunTask(ctx, worker, task, request) }, withdraw), k.orders
	case j.Phase == placement.Leaving:
		return orElse(func(ctx context.Context) (api.Task, error) { return k.tasks.CheckpointTask(ctx, worker, task) }, withdraw), k.orders
	}
	t, _ := k.tracks.Get(task)
	if t.usage.Throttled != j.Throttled {
		return func(ctx context.Context) (api.Task, error) {
			return k.tasks.ThrottleTask(ctx, worker, task, percentOf(j.Throttled))
		}, k.orders
	}
	return func(ctx context.Context) (api.Task, error) { return k.tasks.Task(ctx, worker, task) }, k.reports
}

func percentOf(throttled bool) int {
	if throttled {
		return placement.ThrottledPercent
	}
	return api.WholePercent
}

// orElse makes the second call when the first says that the platform does not
// take the task: from the second on it never will.
func orElse(first, second call) call {
	return func(ctx context.Context) (api.Task, error) {
		task, err := first(ctx)
		if problem.Is(err, problem.NotFound) || problem.Is(err, problem.Conflict) {
			return second(ctx)
		}
		return task, err
	}
}

// observe makes a call about a job and notes the change that follows for the
// next step.
func (k *Controller) observe(ctx context.Context, j *placement.Job, call call) {
	k.countCall(j.Phase)
	begun := k.clock.Now()
	task, err := call(ctx)
	now := k.clock.Now().UTC().Round(0)
	if problem.Is(err, problem.NotFound) {
		task, err = api.Task{State: fleet.TaskLost}, nil
	}
	if err != nil {
		k.unanswered(j.Attempt.Task, begun, now)
		k.log.Warn("task not called about", telemetry.ProblemFields(err)...)
		return
	}
	peak := k.recordPlatformResponse(j.Attempt.Task, task, now)
	o := placement.Observation{Task: j.Attempt.Task, State: task.State, Usage: peak, Ran: time.Duration(task.RanMillis) * time.Millisecond, Detail: task.Detail}
	if _, changed := j.Observe(o, now); !changed {
		return
	}
	e := edit{job: j.ID, change: func(j placement.Job) (placement.Job, bool) { return j.Observe(o, now) }}
	k.answers.Update(func(old []edit) ([]edit, bool) { return append(old, e), true })
	k.View.touch()
}

// unwritten returns the jobs whose answers no step has written down yet.
func (k *Controller) unwritten() map[string]bool {
	unwritten := make(map[string]bool)
	for _, e := range k.answers.Get() {
		unwritten[e.job] = true
	}
	return unwritten
}

// recordPlatformResponse records the platform's report of a task and returns the most that it was
// reported to use.
func (k *Controller) recordPlatformResponse(task string, word api.Task, now time.Time) (peak fleet.Resources) {
	k.platformRespondedAt.Update(func(time.Time) (time.Time, bool) { return now, true })
	k.tracks.Update(task, func(t track, _ bool) (track, bool) {
		t.tried, t.since = now, time.Time{}
		t.usage.ReportedAt, t.usage.SilentFor = now, 0
		t.usage.Ran = time.Duration(word.RanMillis) * time.Millisecond
		t.usage.Peak = t.usage.Peak.Max(word.Usage)
		t.usage.Throttled = word.State == fleet.TaskRunning && word.Percent < api.WholePercent
		peak = t.usage.Peak
		return t, true
	})
	return peak
}

// unanswered notes that a call begun then had no answer. While the platform
// answers none, that says nothing of the worker.
func (k *Controller) unanswered(task string, begun, now time.Time) {
	outage := now.Sub(k.platformRespondedAt.Get()) > k.policy.SilentAfter
	k.tracks.Update(task, func(t track, _ bool) (track, bool) {
		if t.since.IsZero() || outage {
			t.since = begun
		}
		t.tried, t.usage.SilentFor = now, now.Sub(t.since)
		return t, true
	})
}

// forget drops the tracks of tasks that no placed job has any more.
func (k *Controller) forget(placed []placement.Job) {
	kept := make(map[string]bool, len(placed))
	for i := range placed {
		kept[placed[i].Attempt.Task] = true
	}
	k.tracks.Range(func(task string, _ track) bool {
		if !kept[task] {
			k.tracks.Delete(task)
		}
		return true
	})
}

func (k *Controller) countCall(phase placement.Phase) {
	k.counts.Update(func(c Counters) (Counters, bool) {
		if phase == placement.Running {
			c.Reports++
		} else {
			c.Orders++
		}
		return c, true
	})
}
