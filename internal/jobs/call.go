package jobs

import (
	"context"

	"persimmonbay/internal/platform/api"
)

// call asks the platform for something about one task.
type call = func(ctx context.Context) (api.Task, error)
