package dispatch_test

import (
	"time"

	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/slots"
)

// testCall is one batch in transit and its answer.
type testCall struct {
	from     *testNode
	batch    dispatch.OutgoingBatch
	arrives  time.Time // when the receiver gets the batch; zero: it is lost
	answered time.Time // when the sender gets the answer
	givesUp  time.Time // when the sender stops waiting
	served   bool      // the receiver got the batch
	done     bool      // the sender got the answer, gave up or died
	loans    []slots.Loan
}
