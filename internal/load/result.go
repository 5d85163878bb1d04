package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a plan.
type Result struct {
	Elapsed   time.Duration
	Completed int // whole responses with status 200 to 299
	Refused   int // whole responses with another status
	Broken    int // requests without a whole response
	Latency   *hdrhistogram.Histogram
	Failures  []Failure // first failed requests of each sender, up to maxFailures
}

// Throughput returns the number of completed requests a second.
func (r Result) Throughput() float64 { return float64(r.Completed) / r.Elapsed.Seconds() }

// Quantile returns the q-th percentile of the latency, for q from 0 to 100.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}
