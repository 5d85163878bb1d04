package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
	"persimmonbay/internal/request"
	"persimmonbay/internal/routing"
	"persimmonbay/internal/slots"
	standin "persimmonbay/internal/standin/upstream"
)

// silenceFleet is a request.Server with stand-in upstreams that can go silent.
type silenceFleet struct {
	server    *request.Server
	upstreams []*standin.Server
}

// startSilenceFleet starts a server and n upstreams of a service with this timeout
// and silence limit.
func startSilenceFleet(n int, timeout, silenceLimit time.Duration) *silenceFleet {
	GinkgoHelper()
	clock := clockwork.NewRealClock()
	f := &silenceFleet{}
	var instances []fleet.Instance
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		instance := fleet.Instance{ID: fmt.Sprintf("tags-%d", i+1), Kind: fleet.KindUpstream, Service: "tags", Address: l.Addr().String(), State: fleet.Live}
		u := standin.NewServer(instance, 64, clock)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = u.Serve(ctx, l)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		f.upstreams = append(f.upstreams, u)
		instances = append(instances, instance)
	}
	table := routing.NewTable()
	table.Replace(instances, clock.Now())
	inForce := configuration.NewInForce()
	inForce.SetIfNewer(configuration.Versioned{Version: 1, Configuration: &configuration.Configuration{
		Teams:    []configuration.Team{{Name: "herders", TopClass: fleet.Urgent}},
		Services: []configuration.Service{{Name: "tags", Slots: 64, Connections: 64, Timeout: timeout, SilenceLimit: silenceLimit}},
	}})
	f.server = &request.Server{InForce: inForce, Dispatcher: dispatch.New(testPlacer(inForce, table, clock), clock, noRecorder{}, func() {}), Sender: newSenderOf(1 << 20),
		Ledger: grantingLedger{}, RetryBudget: request.NewRetryBudget(request.RetryShare), Clock: clock}
	return f
}

// testPlacer returns the placer of an entry that holds all slots.
func testPlacer(inForce *configuration.InForce, table *routing.Table, clock clockwork.Clock) *dispatch.Placer {
	now, c := clock.Now(), inForce.Get().Configuration
	p := dispatch.NewPlacer(slots.Holder{Entry: "entry-1"}, "az-1", now, func(s admission.Shares) admission.Order {
		return admission.NewFair(s, admission.DefaultLimits)
	})
	p.Configure(c)
	p.SetInstances("tags", table.Candidates("tags"), now)
	p.SetConfirmedUntil(now.Add(time.Hour), now)
	p.SetFixedSlots(func(string) int { return c.Services[0].Slots })
	p.Tick(now)
	return p
}

// silence makes all open connections of the upstreams silent.
func (f *silenceFleet) silence() {
	for _, u := range f.upstreams {
		u.SetFaults(standin.Faults{StallOpenConnections: true})
	}
}

// serve serves n requests at once and returns their results. key returns the key
// of the i-th request; when nil, the requests have no keys.
func (f *silenceFleet) serve(n int, key func(i int) request.Key) []request.Result {
	results := make([]request.Result, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			r := &request.Request{ID: fmt.Sprint(i), Service: "tags", Team: "herders", Method: "POST", Path: "/1"}
			if key != nil {
				r.Key = key(i)
			}
			results[i] = f.server.Serve(context.Background(), r)
		})
	}
	running.Wait()
	return results
}

// executions returns how often the work under key was done on all upstreams.
func (f *silenceFleet) executions(key request.Key) int {
	n := 0
	for _, u := range f.upstreams {
		n += u.Executions(string(key))
	}
	return n
}

// running returns the number of requests that run on all upstreams.
func (f *silenceFleet) running() int {
	n := 0
	for _, u := range f.upstreams {
		n += u.Load().InFlight
	}
	return n
}

// quick serves n requests one by one and reports whether each was answered before
// its connection would be probed for silence.
func (f *silenceFleet) quick(n int) bool {
	for range n {
		start := time.Now()
		if f.serve(1, nil)[0].Outcome != fleet.Completed || time.Since(start) > silenceLimit/2 {
			return false
		}
	}
	return true
}
