package intake

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"persimmonbay/internal/door"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// verdict returns whether a job that arrives is accepted. Without teams in the
// configuration all jobs are.
func (in *Intake) verdict(sub *scheduler.Submission) door.Verdict {
	c := in.config.Get()
	if c == nil || len(c.Teams) == 0 {
		return door.Verdict{Cause: door.Within}
	}
	job := door.Job{
		ID: sub.ID, Team: sub.Team, Queue: sub.Queue, Depth: sub.Depth(), Stretch: sub.Stretch, Objective: sub.Objective,
		Deferred: sub.LongRunning() || !sub.StartAt.IsZero() || sub.Occurrences() > 1,
	}
	v := door.Decide(in.owners.Report(sub.Service), &job, in.clock.Now())
	in.tally.Count(&v)
	return v
}

// refuse refuses a job because of load. It first stores that: a write of an earlier copy of
// the call that is still to be carried out is conditional on the absence of that record, so
// the job does not run unless a later copy is accepted. decided is false if the store did
// not confirm the record; the job may be accepted then. A job that was accepted before is
// not refused: err is nil.
func (in *Intake) refuse(ctx context.Context, sub *scheduler.Submission, v *door.Verdict) (err error, decided bool) {
	var t tries
	err = t.do(ctx, func(ctx context.Context) error { return in.bar(ctx, sub.Service, sub.ID, true) })
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return nil, false // it was accepted or cancelled before: the call is handled like any other
	case err != nil:
		if unlogged, ok := in.lines.notStored.allow(in.clock.Now()); ok {
			in.log.Info("refusal of a job not stored, job not refused", append(telemetry.ProblemFields(err), zap.String("job", sub.ID), zap.Int("unlogged", unlogged))...)
		}
		return nil, false
	}
	if unlogged, ok := in.lines.refused.allow(in.clock.Now()); ok {
		in.log.Info("job refused, as it would end too late to be of use",
			zap.String("job", sub.ID), zap.String("team", sub.Team), zap.String("queue", sub.Queue), zap.String("service", sub.Service),
			zap.Duration("report_age", v.Age), zap.Duration("expected_wait", v.Wait), zap.Duration("of_use_for", v.Useful),
			zap.Duration("retry_after", v.RetryAfter), zap.Int("unlogged", unlogged))
	}
	return &problem.Error{Kind: problem.Overloaded, Step: problem.StepAdmit, Peer: sub.ID, Detail: "the team has sent more than its weight, and the pool is full for longer than the job is of use", Delay: v.RetryAfter}, true
}

// DoorCounts returns how many jobs were accepted and refused, by cause, and how old the
// reports were that decided.
func (in *Intake) DoorCounts() door.Counts { return in.tally.Counts() }
