package platform

import (
	"context"
	"time"
)

// Lessor grants leases. Errors are *problem.Error; kind NotFound says that
// the lease has lapsed.
type Lessor interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, id LeaseID) error
	Revoke(ctx context.Context, id LeaseID) error
}
