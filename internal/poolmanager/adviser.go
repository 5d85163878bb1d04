package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/scheduler"
)

// Adviser asks which workers may run a step. The tickets are by worker and
// valid for the time given.
type Adviser interface {
	Advise(ctx context.Context, r scheduler.AdviceRequest) (tickets map[string]string, valid time.Duration, err error)
}
