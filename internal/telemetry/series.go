package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in decimal digits.
// Durations outside the range are recorded as its nearest bound.
const (
	lowestMicros      = 1
	highestMicros     = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// series is the histogram of one team, class, outcome and measure. mu guards
// histogram.
type series struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{histogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (s *series) record(d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.histogram.RecordValue(micros) // cannot fail: micros is within the range
}

func (s *series) summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Summary{
		Count:     s.histogram.TotalCount(),
		P50Micros: s.histogram.ValueAtQuantile(50),
		P90Micros: s.histogram.ValueAtQuantile(90),
		P99Micros: s.histogram.ValueAtQuantile(99),
		MaxMicros: s.histogram.Max(),
	}
}
