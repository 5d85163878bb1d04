package answertime

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Statistics counts calls and their answer times for the metrics. It is not safe for
// concurrent use, and its size is fixed.
type Statistics struct {
	times      *hdrhistogram.Histogram // in units of statisticsUnit
	lost, late int64
}

const (
	statisticsUnit    = 100 * time.Microsecond
	longestStatistics = 10 * time.Second
	statisticsDigits  = 2
)

// NewStatistics returns statistics without any call.
func NewStatistics() *Statistics {
	return &Statistics{times: hdrhistogram.New(1, int64(longestStatistics/statisticsUnit), statisticsDigits)}
}

// Answered counts an answer.
func (s *Statistics) Answered(took time.Duration) {
	units := min(max(int64(took/statisticsUnit), 1), int64(longestStatistics/statisticsUnit))
	_ = s.times.RecordValue(units) // it is within the bounds of the histogram
}

// Lost counts a call without an answer.
func (s *Statistics) Lost() { s.lost++ }

// Late counts an order that was carried out though its answer was not received in time.
func (s *Statistics) Late() { s.late++ }

// Summary returns the figures for the metrics, without the states of the peers.
func (s *Statistics) Summary() Summary {
	at := func(quantile float64) float64 {
		return float64(time.Duration(s.times.ValueAtQuantile(quantile))*statisticsUnit) / float64(time.Millisecond)
	}
	return Summary{Answers: s.times.TotalCount(), Lost: s.lost, Late: s.late, Millis: map[string]float64{"p50": at(50), "p90": at(90), "p99": at(99), "max": at(100)}, States: map[string]int{}}
}
