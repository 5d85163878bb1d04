package dispatch_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// Load of the refusal test: more requests than the slots can serve in time.
const (
	floodRequests = 200
	floodQueued   = 65 // requests that 8 slots of 10 ms each can start within 80 ms, the next one included
	floodDeadline = 100 * time.Millisecond
)

var _ = Describe("a refusal by the dispatcher", func() {
	It("is returned when the request arrives, regardless of the queue", func() {
		clock := clockwork.NewFakeClock()
		p, _ := idlePlacer(clock.Now())
		recorder := &testRecorder{}
		d := dispatch.New(p, clock, recorder, func() {})
		service := &configuration.Service{Name: testService}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var overloaded atomic.Int64
		for range floodRequests {
			r := &request.Request{Team: "herders", Deadline: clock.Now().Add(floodDeadline)}
			running.Go(func() {
				if _, err := d.Acquire(ctx, r, service, nil); problem.KindOf(err) == problem.Overloaded && ctx.Err() == nil {
					overloaded.Add(1)
				}
			})
		}
		refused := floodRequests - needUpstreams - floodQueued
		Eventually(overloaded.Load).Should(BeEquivalentTo(refused)) // the clock has not moved
		started, recorded, longest := recorder.counts()
		Expect(started).To(Equal(needUpstreams))
		Expect(recorded).To(Equal(refused))
		Expect(longest).To(BeZero())
		cancel()
		running.Wait()
	})
})
