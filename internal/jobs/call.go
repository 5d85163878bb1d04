package jobs

import (
	"context"

	"persimmonbay/internal/platform/api"
)

// call is one call to the platform about one task. It returns the platform's
// report of the task.
type call = func(ctx context.Context) (api.Task, error)
