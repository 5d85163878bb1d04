package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a plan.
type Result struct {
	Elapsed   time.Duration
	Completed int // whole answers with status 200 to 299
	Refused   int // whole answers with another status
	Broken    int // no whole answer
	Latency   *hdrhistogram.Histogram
	Misses    []Miss // what the callers of the others were told; of many the first ones
}

// Throughput returns whole good answers a second.
func (r Result) Throughput() float64 { return float64(r.Completed) / r.Elapsed.Seconds() }

// Quantile returns the latency at q per cent.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}
