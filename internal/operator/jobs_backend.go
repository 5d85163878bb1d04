package operator

import (
	"context"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
)

// JobsBackend is what the operators' face needs of an entry for jobs. Errors
// are *problem.Error.
type JobsBackend interface {
	// SubmitJobs queues jobs, all or, when one can never run, none.
	SubmitJobs(ctx context.Context, in message.SubmitRequest) ([]placement.Job, error)
	// Jobs returns all jobs that have not ended or ended of late.
	Jobs(ctx context.Context) ([]placement.Job, error)
	Job(ctx context.Context, id string) (placement.Job, error)
	// CancelJobs returns the jobs that it cancelled, as they then were.
	CancelJobs(ctx context.Context, in message.CancelRequest) ([]placement.Job, error)
}
