package operator

import (
	"context"

	"persimmonbay/internal/operator/message"
	"persimmonbay/internal/placement"
)

// JobsBackend is what the operators' API needs of an entry for jobs. Errors
// are *problem.Error.
type JobsBackend interface {
	// SubmitJobs queues all jobs of in. It queues none and returns an error when
	// one of them can never run.
	SubmitJobs(ctx context.Context, in message.SubmitRequest) ([]placement.Job, error)
	// Jobs returns all jobs that have not ended or have ended recently.
	Jobs(ctx context.Context) ([]placement.Job, error)
	// Job returns the job with this ID.
	Job(ctx context.Context, id string) (placement.Job, error)
	// CancelJobs cancels the selected jobs that have not ended and returns those,
	// in the state after the cancellation. A single job selected by its ID that
	// has ended is an error.
	CancelJobs(ctx context.Context, in message.CancelRequest) ([]placement.Job, error)
}
