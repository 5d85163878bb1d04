package quota_test

import "time"

// simTask is n tasks that start together, each needing so many thousandths of a core.
type simTask struct {
	n, each int
	since   time.Time // that it has waited
}
