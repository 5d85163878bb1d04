package places

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Statistics counts waits for the metrics. It is not safe for concurrent use, and its size is
// fixed.
type Statistics struct {
	waits               *hdrhistogram.Histogram // of those that ended, in milliseconds
	begun, won, givenUp int64
}

// NewStatistics returns statistics without any wait.
func NewStatistics() *Statistics {
	return &Statistics{waits: hdrhistogram.New(1, 2*MaxWait.Milliseconds(), 2)}
}

// Begun counts a wait.
func (s *Statistics) Begun() { s.begun++ }

// Ended counts the end of a wait; won tells whether the task got its place.
func (s *Statistics) Ended(won bool, waited time.Duration) {
	if won {
		s.won++
	} else {
		s.givenUp++
	}
	_ = s.waits.RecordValue(min(max(waited.Milliseconds(), 1), 2*MaxWait.Milliseconds())) // it is within the bounds of the histogram
}

// Summary returns the figures for the metrics.
func (s *Statistics) Summary() Summary {
	return Summary{Begun: s.begun, Won: s.won, GivenUp: s.givenUp, Millis: map[string]int64{"p50": s.waits.ValueAtQuantile(50), "p90": s.waits.ValueAtQuantile(90), "max": s.waits.Max()}}
}
