package bench

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"persimmonbay/internal/load"
	standinupstream "persimmonbay/internal/standin/upstream"
)

// BenchmarkMemoryInFlight prints the memory of a process that runs a platform, an
// upstream, an entry and its callers while this many requests are in flight. The
// slope over the numbers is the cost of one request with both of its connections,
// including the parts of caller and stand-in.
func BenchmarkMemoryInFlight(b *testing.B) {
	for _, inFlight := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("requests=%d", inFlight), func(b *testing.B) {
			for range b.N {
				ctx, stop := context.WithCancel(context.Background())
				_, callers := startOneWith(ctx, b, standinupstream.Faults{BodyBytes: 1000})
				p := plan("http://"+callers+"/tags/8812", inFlight, 4*inFlight, 0)
				before := memory()
				most := uint64(0)
				makeRequest := p.Request
				p.Request = func(i int) (*http.Request, error) {
					if i == 2*inFlight {
						most = memory()
					}
					return makeRequest(i)
				}
				result := load.Run(ctx, p)
				stop()
				b.ReportMetric(float64(most-before)/1024, "kB")
				b.ReportMetric(float64(most-before)/1024/float64(inFlight), "kB/request")
				b.ReportMetric(float64(result.Completed), "completed")
			}
		})
	}
}

// memory returns the bytes of live heap objects and stacks.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
