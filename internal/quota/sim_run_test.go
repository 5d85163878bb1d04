package quota_test

import (
	"time"

	"persimmonbay/internal/quota"
)

// simRun is one task of the team on a worker.
type simRun struct {
	charge  quota.Charge
	worker  int
	listed  time.Time // from then on polls show it
	ends    time.Time
	learnt  time.Time // when an owner that knows of it learns that it has ended
	open    time.Time // until when a copy of its start may be carried out; zero: there is none
	pending time.Time // until when the owner counts that copy
}
