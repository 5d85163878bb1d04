package entry

import (
	"context"
	"fmt"

	"persimmonbay/internal/jobs"
	"persimmonbay/internal/jobstore"
	"persimmonbay/internal/operator"
	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
	"persimmonbay/internal/problem"
)

var _ operator.JobsBackend = (*Entry)(nil)

// Bounds of operators' submissions.
const (
	maxJobsAtOnce = 1000
	maxWorkBytes  = 4 << 10
	maxNameBytes  = 128
)

// SubmitJobs implements operator.JobsBackend.
func (e *Entry) SubmitJobs(ctx context.Context, in message.SubmitRequest) ([]placement.Job, error) {
	fleet, known := e.jobs.Fleet()
	if !known {
		return nil, problem.New(problem.Unavailable, problem.StepPlace, "", "no configuration is in force yet")
	}
	if len(in.Jobs) > maxJobsAtOnce {
		return nil, problem.New(problem.TooLarge, problem.StepPlace, "", fmt.Sprintf("at most %d jobs may be submitted in one request", maxJobsAtOnce))
	}
	submitted := make([]placement.Job, 0, len(in.Jobs))
	for _, s := range in.Jobs {
		if err := checkSpec(s); err != nil {
			return nil, err
		}
		submitted = append(submitted, placement.Job{ID: s.ID, Team: s.Team, Name: s.Name, Class: s.Class, Size: s.Size, RunTime: s.RunTime,
			Deadline: s.Deadline, Repeatable: s.Repeatable, Work: s.Work, By: in.Operator})
	}
	now := e.clock.Now().UTC().Round(0)
	if err := jobs.Submit(ctx, e.jobs.store, fleet, now, submitted); err != nil {
		return nil, err
	}
	for i := range submitted {
		submitted[i].Phase, submitted[i].Submitted, submitted[i].Since = placement.Queued, now, now
	}
	return submitted, nil
}

func checkSpec(s message.JobSpec) error {
	switch {
	case s.ID == "" || len(s.ID) > maxNameBytes:
		return problem.New(problem.Invalid, problem.StepPlace, s.ID, fmt.Sprintf("id: expected 1 to %d bytes", maxNameBytes))
	case s.Name == "" || len(s.Name) > maxNameBytes:
		return problem.New(problem.Invalid, problem.StepPlace, s.ID, fmt.Sprintf("name: expected 1 to %d bytes", maxNameBytes))
	case len(s.Work) > maxWorkBytes:
		return problem.New(problem.TooLarge, problem.StepPlace, s.ID, fmt.Sprintf("work: expected at most %d bytes", maxWorkBytes))
	case s.RunTime < 0:
		return problem.New(problem.Invalid, problem.StepPlace, s.ID, "runTime: expected 0 or more")
	}
	return nil
}

// Jobs implements operator.JobsBackend.
func (e *Entry) Jobs(ctx context.Context) ([]placement.Job, error) {
	shards, err := e.jobs.store.LoadAll(ctx)
	all := []placement.Job{}
	for _, s := range shards {
		all = append(all, s.Jobs...)
	}
	return all, err
}

// Job implements operator.JobsBackend.
func (e *Entry) Job(ctx context.Context, id string) (placement.Job, error) {
	shard, err := e.jobs.store.Load(ctx, jobstore.ShardOf(id))
	if err != nil {
		return placement.Job{}, err
	}
	job, found := shard.Find(id)
	if !found {
		return job, problem.New(problem.NotFound, problem.StepPlace, id, "job not found; ended jobs are removed after some time")
	}
	return job, nil
}

// CancelJobs implements operator.JobsBackend. A single job that cannot be
// cancelled is an error; of many, those that have ended are skipped.
func (e *Entry) CancelJobs(ctx context.Context, in message.CancelRequest) ([]placement.Job, error) {
	selection := jobs.Selection{IDs: in.IDs, Team: in.Team, Name: in.Name}
	if len(in.IDs) == 0 && in.Team == "" && in.Name == "" {
		return nil, problem.New(problem.Invalid, problem.StepPlace, "", "expected job IDs, a team or a name")
	}
	now := e.clock.Now().UTC().Round(0)
	if len(in.IDs) == 1 {
		job, err := e.Job(ctx, in.IDs[0])
		if err == nil {
			_, err = job.Cancel(in.Operator, now)
		}
		if err != nil {
			return nil, err
		}
	}
	cancelled, err := jobs.Cancel(ctx, e.jobs.store, selection, in.Operator, now)
	if cancelled == nil {
		cancelled = []placement.Job{}
	}
	return cancelled, err
}
