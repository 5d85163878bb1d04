package platform

import (
	"context"

	"persimmonbay/internal/fleet"
)

// InstanceLister lists the fleet's instances. The list lags behind reality.
type InstanceLister interface {
	// Instances returns the list. It is transferred whole only when it is not
	// the known one any more, or the platform knows no entity tags.
	Instances(ctx context.Context, known fleet.Listing) (fleet.Listing, error)
}
