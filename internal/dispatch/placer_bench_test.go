package dispatch_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
	"persimmonbay/internal/slots"
)

// benchServices is how many services the requests are spread over.
const benchServices = 32

// BenchmarkPlacer measures placing and ending a request, with a lock for each
// service and, for comparison, with one lock around all of them. Run it with
// several values of -cpu.
func BenchmarkPlacer(b *testing.B) {
	for _, oneLock := range []bool{false, true} {
		b.Run(fmt.Sprintf("oneLock=%v", oneLock), func(b *testing.B) { benchPlacer(b, oneLock) })
	}
}

func benchPlacer(b *testing.B, oneLock bool) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := newBenchPlacer(at)
	var mu sync.Mutex
	var next atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		name := fmt.Sprintf("service-%d", next.Add(1)%benchServices)
		t := &admission.Ticket{Class: fleet.Normal, Team: "herders"}
		for pb.Next() {
			if oneLock {
				mu.Lock()
			}
			start, verdict := p.Acquire(name, t, at)
			if verdict != admission.Started {
				b.Errorf("verdict %d", verdict)
			}
			p.Release(name, dispatch.Completion{Upstream: start.Instance.ID, Class: t.Class, Team: t.Team, Charge: start.Charge,
				Feedback: request.Feedback{Sent: true, Answered: true, Took: time.Millisecond}}, at)
			if oneLock {
				mu.Unlock()
			}
		}
	})
}

// newBenchPlacer returns a placer with all slots of benchServices services.
func newBenchPlacer(at time.Time) *dispatch.Placer {
	c := &configuration.Configuration{Teams: []configuration.Team{{Name: "herders", Weight: 1}}}
	for i := range benchServices {
		c.Services = append(c.Services, configuration.Service{Name: fmt.Sprintf("service-%d", i), Slots: testSlots, Timeout: testTimeout})
	}
	p := dispatch.NewPlacer(slots.Holder{Entry: "entry-1"}, "az-1", at,
		func(s admission.Shares) admission.Order { return admission.NewFair(s, admission.DefaultLimits) })
	p.Configure(c)
	for i := range c.Services {
		var instances []fleet.Instance
		for j := range 10 {
			instances = append(instances, fleet.Instance{ID: fmt.Sprintf("%s-%d", c.Services[i].Name, j), AvailabilityZone: "az-1"})
		}
		p.SetInstances(c.Services[i].Name, instances, at)
	}
	p.SetConfirmedUntil(at.Add(time.Hour), at)
	p.SetFixedSlots(func(string) int { return testSlots })
	p.Tick(at)
	return p
}
