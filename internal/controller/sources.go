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
	// Changed returns a channel that is closed when the records change.
	Changed() <-chan struct{}
}
