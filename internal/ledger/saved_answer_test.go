package ledger

import "time"

// savedAnswer is an answer that the budget admitted.
type savedAnswer struct {
	at    time.Time
	bytes int
}
