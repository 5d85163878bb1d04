package poolmanager

import (
	"context"

	"persimmonbay/internal/scheduler"
)

// Adviser is the advice service, which decides on which workers a step may run.
type Adviser interface {
	// Advise returns the service's answer with a ticket for each worker that may run the
	// step. The reply counts as not answered if there is an error.
	Advise(ctx context.Context, r scheduler.AdviceRequest) (scheduler.AdviceReply, error)
}
