package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// series is the histogram of the times of one team, class and outcome. mu
// guards histogram.
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
	_ = s.histogram.RecordValue(micros) // within the range by the clamp above
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
