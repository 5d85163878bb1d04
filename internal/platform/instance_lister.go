package platform

import (
	"context"

	"persimmonbay/internal/fleet"
)

// InstanceLister lists the fleet's instances. The list lags behind reality.
type InstanceLister interface {
	Instances(ctx context.Context) ([]fleet.Instance, error)
}
