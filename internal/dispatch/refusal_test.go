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

// A flood of the refusal test: more than the slots work off in time.
const (
	floodOfTest    = 200
	queuedOfTest   = 65 // that 8 slots of 10 ms start within 80 ms, the next one included
	deadlineOfTest = 100 * time.Millisecond
)

var _ = Describe("a refusal at the front", func() {
	It("is given at the time at which the request came, whatever waits", func() {
		clock := clockwork.NewFakeClock()
		p, _ := idle(clock.Now())
		recorder := &testRecorder{}
		d := dispatch.New(p, clock, recorder, func() {})
		service := &configuration.Service{Name: testService}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var overloaded atomic.Int64
		for range floodOfTest {
			r := &request.Request{Team: "herders", Deadline: clock.Now().Add(deadlineOfTest)}
			running.Go(func() {
				if _, err := d.Acquire(ctx, r, service, nil); problem.KindOf(err) == problem.Overloaded && ctx.Err() == nil {
					overloaded.Add(1)
				}
			})
		}
		refused := floodOfTest - claimUpstreams - queuedOfTest
		Eventually(overloaded.Load).Should(BeEquivalentTo(refused)) // the clock has not moved
		started, told, longest := recorder.counts()
		Expect(started).To(Equal(claimUpstreams))
		Expect(told).To(Equal(refused))
		Expect(longest).To(BeZero())
		cancel()
		running.Wait()
	})
})
