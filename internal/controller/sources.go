package controller

import (
	"context"

	"persimmonbay/internal/maintenance"
)

// Sources gives the snapshots that plans are made from.
type Sources interface {
	// Snapshot returns what is known now, and false when that is not enough to
	// plan from.
	Snapshot(ctx context.Context) (maintenance.Snapshot, bool)
	// Changed returns a channel that is closed when a plan may have something
	// new to do: records, list or configuration have changed.
	Changed() <-chan struct{}
	// State returns the disruptions and the wave as far as they are known now.
	State() maintenance.State
}
