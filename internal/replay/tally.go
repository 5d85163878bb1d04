package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded times.
const (
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// tally counts the outcomes of one stream's requests while a flood runs.
type tally struct {
	offered int
	good    int                     // complete responses before the deadline
	total   *hdrhistogram.Histogram // time from arrival to response, in microseconds
	waiting *hdrhistogram.Histogram // time from arrival to the first placement, in microseconds
}

func newTally() *tally {
	return &tally{total: hdrhistogram.New(1, highestMicros, significantDigits), waiting: hdrhistogram.New(1, highestMicros, significantDigits)}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros)) // cannot fail within the range
}

// quantile returns the q-th percentile of h.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
