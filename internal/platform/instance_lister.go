package platform

import (
	"context"

	"persimmonbay/internal/fleet"
)

// InstanceLister lists the fleet's instances. The list lags behind their actual
// state.
type InstanceLister interface {
	// Instances returns the current list. It returns known without transferring
	// the list if it has not changed since, which requires that the platform
	// supports entity tags.
	Instances(ctx context.Context, known fleet.Listing) (fleet.Listing, error)
}
