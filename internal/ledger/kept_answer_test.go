package ledger

import "time"

// keptAnswer is one answer that a budget had room for.
type keptAnswer struct {
	at    time.Time
	bytes int
}
