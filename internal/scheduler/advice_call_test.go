package scheduler_test

import (
	"time"

	"persimmonbay/internal/scheduler"
)

// adviceCall is a call of the advice service and its outcome.
type adviceCall struct {
	request   scheduler.AdviceRequest
	sentAt    time.Time
	outcomeAt time.Time
	answered  bool
}
