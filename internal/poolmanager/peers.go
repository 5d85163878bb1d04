package poolmanager

import (
	"context"
	"time"

	"persimmonbay/internal/door"
)

// Peers sends messages to other entries.
type Peers interface {
	// Notify sends a notice to the entry at address at now, and waits for its response. It
	// returns the report of the pool's owner, nil if the entry sent none.
	Notify(ctx context.Context, address string, n Notice, now time.Time) (*door.Report, error)
	// Pending asks the entry at address, as the owner of service's pool, how many jobs
	// of a queue have not begun; known is false if it does not own the pool.
	Pending(ctx context.Context, address, service, queue string) (jobs int, known bool, err error)
}
