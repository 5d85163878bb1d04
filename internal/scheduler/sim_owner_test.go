package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// simOwner is one owner of the pool. No simulation lasts until its ownership ends.
type simOwner struct {
	pool  *scheduler.Pool
	until time.Time // not reached
}
