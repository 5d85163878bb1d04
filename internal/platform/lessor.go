package platform

import (
	"context"
	"time"
)

// Lessor grants, renews and revokes leases. Errors are *problem.Error; kind
// NotFound means that the lease has expired or was revoked.
type Lessor interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}
