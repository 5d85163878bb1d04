package dispatch_test

import (
	"time"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/slots"
)

// testCall is one batch under way and its answer.
type testCall struct {
	from     *testNode
	batch    dispatch.OutgoingBatch
	arrives  time.Time // zero: lost on the way
	answered time.Time // zero: the answer is lost
	gaveUp   time.Time
	served   bool
	done     bool
	loans    []slots.Loan
}
