package work_test

import (
	"time"

	"persimmonbay/internal/work"
)

// overlapEnd is an end as the users' rules see it.
type overlapEnd struct {
	life   string
	row    work.EndReport
	at     time.Time
	lapsed bool // the worker's lease ended before anybody took note
	noted  bool
}
