package controller

import (
	"context"

	"persimmonbay/internal/maintenance"
)

// Sources provides the input of plans.
type Sources interface {
	// Snapshot returns the present snapshot, and false if it does not suffice
	// to plan.
	Snapshot(ctx context.Context) (maintenance.Snapshot, bool)
	// Changed returns a channel that is closed when records, list or
	// configuration have changed, so that a plan may find something to do.
	Changed() <-chan struct{}
	// State returns the disruptions and the wave as far as they are known.
	State() maintenance.State
}
