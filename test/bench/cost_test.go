package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/peer/wire"
	standinplatform "persimmonbay/internal/standin/platform"

	standinupstream "persimmonbay/internal/standin/upstream"
)

// BenchmarkInstanceListBytes prints the size of the platform's list of instances,
// from which entries know the live instances, and of the messages by which one
// entry sends it to another: the whole list, or the change of one instance.
func BenchmarkInstanceListBytes(b *testing.B) {
	for _, n := range []int{50, 300, 910} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			server := standinplatform.NewServer(clockwork.NewRealClock())
			for _, i := range instanceList(n) {
				server.Instances.Put(i)
			}
			for range b.N {
				b.ReportMetric(float64(listBytes(server, "")), "plain-bytes")
				b.ReportMetric(float64(listBytes(server, "gzip")), "gzip-bytes")
				whole, change := peerListBytes(instanceList(n))
				b.ReportMetric(float64(whole), "peer-bytes")
				b.ReportMetric(float64(change), "peer-change-bytes")
			}
		})
	}
}

// peerListBytes returns the sizes of the messages that send a peer the whole
// list, and the change of one instance.
func peerListBytes(list []fleet.Instance) (whole, change int) {
	v, now := inventory.New(), time.Now()
	v.Read(fleet.Listing{Tag: `W/"0123456789abcdef"`, Instances: list}, now)
	base := v.Get().Stamp
	whole = proto.Size(wire.FromInstances(v.Get(), now))
	list = slices.Clone(list)
	list[len(list)/2].State = fleet.Leaving
	v.Read(fleet.Listing{Tag: `W/"0123456789abcdef"`, Instances: list}, now)
	d, _ := v.ChangesSince(base)
	return whole, proto.Size(wire.FromDifference(d, now))
}

// listBytes returns the size of the platform's response body in an encoding.
func listBytes(server *standinplatform.Server, encoding string) int {
	request := httptest.NewRequest(http.MethodGet, "/v1/instances", nil)
	request.Header.Set("Accept-Encoding", encoding)
	answer := httptest.NewRecorder()
	server.Handler().ServeHTTP(answer, request)
	return answer.Body.Len()
}

// instanceList returns n live upstreams of 50 services.
func instanceList(n int) []fleet.Instance {
	random := rand.New(rand.NewPCG(1, 1)) // random IDs, like a platform's, compress badly
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = fleet.Instance{
			ID: fmt.Sprintf("i-%016x", random.Uint64()), Kind: fleet.KindUpstream, Service: fmt.Sprintf("service-%02d", i%50),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%8, random.IntN(256), random.IntN(256)), AvailabilityZone: fmt.Sprintf("az-%d", i%8+1),
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
				upstream, callers := startOneWith(ctx, b, standinupstream.Faults{BodyBytes: size})
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
