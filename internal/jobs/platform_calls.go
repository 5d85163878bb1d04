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

// callPlatform calls the platform about the tasks of the placed jobs in their
// stored state, and returns whether any order is due. It does not wait for
// responses, so that a worker that does not respond delays nothing.
func (c *Controller) callPlatform(ctx context.Context, lost map[string]bool, held func() bool) (ordering bool) {
	placed, unwritten := c.placed(), c.unwrittenJobs()
	c.dropStatuses(placed)
	for i := range placed {
		j := &placed[i]
		call, limiter := c.dueCall(j, lost[j.ID])
		ordering = ordering || limiter == c.orders
		if unwritten[j.ID] || !c.startCall(j, limiter) {
			continue
		}
		c.calls.Add(1)
		c.Spawn(func() {
			defer c.calls.Done()
			defer c.endCall(j)
			if held() {
				c.observeTask(ctx, j, call)
			}
		})
	}
	return ordering
}

// startCall reports whether a call about a job's task may be made now, and if so
// counts it as in flight.
func (c *Controller) startCall(j *placement.Job, limiter *rate.Limiter) bool {
	status, _ := c.statuses.Get(j.Attempt.Task)
	atWorker, _ := c.inFlight.Get(j.Attempt.Worker)
	if status.calling || atWorker >= maxCallsPerWorker || !limiter.AllowN(c.clock.Now(), 1) {
		return false
	}
	c.statuses.Update(j.Attempt.Task, func(s taskStatus, _ bool) (taskStatus, bool) { s.calling = true; return s, true })
	c.inFlight.Update(j.Attempt.Worker, func(n int, _ bool) (int, bool) { return n + 1, true })
	return true
}

func (c *Controller) endCall(j *placement.Job) {
	c.statuses.Update(j.Attempt.Task, func(s taskStatus, known bool) (taskStatus, bool) { s.calling = false; return s, known })
	c.inFlight.Update(j.Attempt.Worker, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}

// placed returns the placed jobs in the order in which they are due for a call:
// first those that are not running and need an order, by descending class, then
// the running ones; the one with the oldest call first.
func (c *Controller) placed() []placement.Job {
	var placed []placement.Job
	lastCalled := make(map[string]time.Time)
	for _, j := range c.View.Jobs() {
		if j.Phase.Placed() {
			placed = append(placed, j)
			status, _ := c.statuses.Get(j.Attempt.Task)
			lastCalled[j.ID] = status.lastCalled
		}
	}
	sort.Slice(placed, func(a, b int) bool {
		switch ja, jb := &placed[a], &placed[b]; {
		case (ja.Phase == placement.Running) != (jb.Phase == placement.Running):
			return jb.Phase == placement.Running
		case ja.Phase != placement.Running && ja.Class != jb.Class:
			return ja.Class > jb.Class
		}
		return lastCalled[placed[a].ID].Before(lastCalled[placed[b].ID])
	})
	return placed
}

// dueCall returns the next call about a job, and the limiter for it.
func (c *Controller) dueCall(j *placement.Job, lost bool) (call, *rate.Limiter) {
	worker, task := j.Attempt.Worker, j.Attempt.Task
	withdraw := func(ctx context.Context) (api.Task, error) { return c.tasks.WithdrawTask(ctx, worker, task) }
	switch {
	case lost || j.Phase == placement.Cancelling:
		return withdraw, c.orders
	case j.Phase == placement.Starting:
		request := api.TaskRequest{Job: j.ID, Team: j.Team, Size: j.Size, Work: j.Work, ResumeFrom: j.ResumeFrom}
		return withFallback(func(ctx context.Context) (api.Task, error) { return c.tasks.RunTask(ctx, worker, task, request) }, withdraw), c.orders
	case j.Phase == placement.Leaving:
		return withFallback(func(ctx context.Context) (api.Task, error) { return c.tasks.CheckpointTask(ctx, worker, task) }, withdraw), c.orders
	}
	status, _ := c.statuses.Get(task)
	if status.usage.Throttled != j.Throttled {
		return func(ctx context.Context) (api.Task, error) {
			return c.tasks.ThrottleTask(ctx, worker, task, percentOf(j.Throttled))
		}, c.orders
	}
	return func(ctx context.Context) (api.Task, error) { return c.tasks.Task(ctx, worker, task) }, c.reports
}

func percentOf(throttled bool) int {
	if throttled {
		return placement.ThrottledPercent
	}
	return api.UnthrottledPercent
}

// withFallback returns a call that makes the second call when the first one fails
// because the platform rejects it. The second call withdraws the task, after
// which the platform never starts it.
func withFallback(first, second call) call {
	return func(ctx context.Context) (api.Task, error) {
		task, err := first(ctx)
		if problem.Is(err, problem.NotFound) || problem.Is(err, problem.Conflict) {
			return second(ctx)
		}
		return task, err
	}
}

// observeTask makes a call about a job and records the resulting change of the
// job for the next step.
func (c *Controller) observeTask(ctx context.Context, j *placement.Job, call call) {
	c.countCall(j.Phase)
	start := c.clock.Now()
	task, err := call(ctx)
	now := c.clock.Now().UTC().Round(0)
	if problem.Is(err, problem.NotFound) {
		task, err = api.Task{State: fleet.TaskLost}, nil
	}
	if err != nil {
		c.recordNoResponse(j.Attempt.Task, start, now)
		c.log.Warn("call about a task failed; a later step repeats it", telemetry.ProblemFields(err)...)
		return
	}
	peak := c.recordPlatformResponse(j.Attempt.Task, task, now)
	o := placement.Observation{Task: j.Attempt.Task, State: task.State, Usage: peak, Ran: time.Duration(task.RanMillis) * time.Millisecond, Detail: task.Detail}
	if _, changed := j.Observe(o, now); !changed {
		return
	}
	e := edit{job: j.ID, change: func(j placement.Job) (placement.Job, bool) { return j.Observe(o, now) }}
	c.observed.Update(func(old []edit) ([]edit, bool) { return append(old, e), true })
	c.View.notifyChange()
}

// unwrittenJobs returns the IDs of the jobs with a reported change that no
// step has stored yet.
func (c *Controller) unwrittenJobs() map[string]bool {
	unwritten := make(map[string]bool)
	for _, e := range c.observed.Get() {
		unwritten[e.job] = true
	}
	return unwritten
}

// recordPlatformResponse records the platform's report of a task and returns the
// maximum of its reported usage.
func (c *Controller) recordPlatformResponse(task string, report api.Task, now time.Time) (peak fleet.Resources) {
	c.platformRespondedAt.Update(func(time.Time) (time.Time, bool) { return now, true })
	c.statuses.Update(task, func(s taskStatus, _ bool) (taskStatus, bool) {
		s.lastCalled, s.unansweredSince = now, time.Time{}
		s.usage.ReportedAt, s.usage.SilentFor = now, 0
		s.usage.Ran = time.Duration(report.RanMillis) * time.Millisecond
		s.usage.Peak = s.usage.Peak.Max(report.Usage)
		s.usage.Throttled = report.State == fleet.TaskRunning && report.Percent < api.UnthrottledPercent
		peak = s.usage.Peak
		return s, true
	})
	return peak
}

// recordNoResponse records that a call made at start got no response. While no
// call gets a response, the platform is down, and the silence does not count
// against the worker.
func (c *Controller) recordNoResponse(task string, start, now time.Time) {
	outage := now.Sub(c.platformRespondedAt.Get()) > c.policy.SilentAfter
	c.statuses.Update(task, func(s taskStatus, _ bool) (taskStatus, bool) {
		if s.unansweredSince.IsZero() || outage {
			s.unansweredSince = start
		}
		s.lastCalled, s.usage.SilentFor = now, now.Sub(s.unansweredSince)
		return s, true
	})
}

// dropStatuses deletes the statuses of tasks that are not the latest of a
// placed job.
func (c *Controller) dropStatuses(placed []placement.Job) {
	current := make(map[string]bool, len(placed))
	for i := range placed {
		current[placed[i].Attempt.Task] = true
	}
	c.statuses.Range(func(task string, _ taskStatus) bool {
		if !current[task] {
			c.statuses.Delete(task)
		}
		return true
	})
}

func (c *Controller) countCall(phase placement.Phase) {
	c.counts.Update(func(counters Counters) (Counters, bool) {
		if phase == placement.Running {
			counters.Reports++
		} else {
			counters.Orders++
		}
		return counters, true
	})
}
