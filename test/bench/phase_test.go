package bench

import (
	"fmt"

	"persimmonbay/internal/load"
)

// phase holds the results of a load and its cost in this process.
type phase struct {
	result      load.Result
	cpuMicros   float64 // per request
	allocations float64 // per request
}

// String returns the phase in one line.
func (p phase) String() string {
	return fmt.Sprintf("%.0f/s p50 %v p99 %v cpu %.0f µs/req allocs %.0f/req (%d completed, %d refused, %d broken)",
		p.result.Throughput(), p.result.Quantile(50), p.result.Quantile(99), p.cpuMicros, p.allocations, p.result.Completed, p.result.Refused, p.result.Broken)
}
