package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the times of a tally.
const (
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// tally counts what became of one stream's requests while a flood ran.
type tally struct {
	offered int
	good    int // whole answers before the deadline
	total   *hdrhistogram.Histogram
	waiting *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{total: hdrhistogram.New(1, highestMicros, significantDigits), waiting: hdrhistogram.New(1, highestMicros, significantDigits)}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros)) // within the range
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
