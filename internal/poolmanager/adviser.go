package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/scheduler"
)

// Adviser is the advice service, which decides on which workers a step may run.
type Adviser interface {
	// Advise returns a ticket for each worker that may run the step, by worker, and
	// how long the tickets are valid.
	Advise(ctx context.Context, r scheduler.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)
}
