package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"persimmonbay/internal/fleet"
)

// BenchmarkInstanceListBytes prints the size of the platform's list of
// instances, which entries read to learn who is live.
func BenchmarkInstanceListBytes(b *testing.B) {
	for _, n := range []int{50, 300, 910} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var encoded []byte
			for range b.N {
				encoded, _ = json.Marshal(instanceList(n))
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}

func instanceList(n int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = fleet.Instance{
			ID: fmt.Sprintf("instance-%04d", i), Kind: fleet.KindUpstream, Service: fmt.Sprintf("service-%02d", i%50),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%8, i/256, i%256), AvailabilityZone: fmt.Sprintf("az-%d", i%8+1),
			Rack: fmt.Sprintf("rack-%03d", i/4), State: fleet.Live,
		}
	}
	return list
}

// BenchmarkRequestCost prints the CPU and allocations that one entry adds to a
// request, by the size of the answer.
func BenchmarkRequestCost(b *testing.B) {
	const requests = 5000
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			for range b.N {
				ctx, stop := context.WithCancel(context.Background())
				upstream, callers := startOneWith(ctx, b, size)
				direct := measure(ctx, "http://"+upstream+"/8812", requests)
				through := measure(ctx, "http://"+callers+"/tags/8812", requests)
				stop()
				b.ReportMetric(through.cpuMicros-direct.cpuMicros, "added-cpu-us/req")
				b.ReportMetric(through.allocations-direct.allocations, "added-allocs/req")
				b.ReportMetric(float64(through.result.Broken+through.result.Refused), "not-completed")
			}
		})
	}
}
