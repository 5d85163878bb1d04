package poolmanager

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/problem"
)

var _ = Describe("an owner whose store refuses its reads", func() {
	// After an outage, the owners of all pools called the store again at the same
	// moments, and were refused again by its limit of calls.
	It("pauses for random times, of half the bound at least", func() {
		s := newOwnershipScene()
		o := s.own()
		const tries = 40
		var at []time.Time
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.repeat(func(context.Context) error {
				if at = append(at, s.clock.Now()); len(at) == tries {
					return nil
				}
				return problem.New(problem.Overloaded, problem.StepStoreRead, "", "refused")
			})
		}()
		Eventually(func() bool {
			select {
			case <-done:
				return true
			default:
			}
			limited, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			if s.clock.BlockUntilContext(limited, 1) == nil {
				s.clock.Advance(time.Millisecond)
			}
			return false
		}).WithPolling(time.Microsecond).WithTimeout(time.Minute).Should(BeTrue())
		bound, atBound := minRetryDelay, 0
		for i := 1; i < tries; i++ {
			pause := at[i].Sub(at[i-1])
			Expect(pause).To(And(BeNumerically(">=", bound/2), BeNumerically("<=", bound)))
			if pause == bound {
				atBound++
			}
			bound = min(2*bound, maxRetryDelay)
		}
		Expect(atBound).To(BeNumerically("<", tries/2))
	})
})
