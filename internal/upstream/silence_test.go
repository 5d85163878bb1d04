package upstream

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
	standin "persimmonbay/internal/standin/upstream"
)

// recoveryTimeout is how soon after silence requests must be served without delay.
const recoveryTimeout = 2 * time.Second

// silenceLimit is the silence limit of the service in these tests.
const silenceLimit = 500 * time.Millisecond

func keyOf(i int) request.Key {
	return request.Key(fmt.Sprintf("019ae4a0-0000-7000-8000-%012d", i))
}

var _ = Describe("silent connections", func() {
	outcomes := func(results []request.Result) map[fleet.Outcome]int {
		counts := make(map[fleet.Outcome]int)
		for _, r := range results {
			counts[r.Outcome]++
		}
		return counts
	}

	for _, upstreams := range []int{1, 3} {
		It(fmt.Sprintf("fail no idempotent request and are closed within 2 s, with %d upstreams", upstreams), func() {
			f := startSilenceFleet(upstreams, 4*silenceLimit, silenceLimit)
			for range 10 { // opens connections and fills the retry budget
				Expect(outcomes(f.serve(32, nil))).To(HaveKeyWithValue(fleet.Completed, 32))
			}
			f.silence()
			silent := time.Now()
			Expect(outcomes(f.serve(4*upstreams, nil))).To(HaveKeyWithValue(fleet.Completed, 4*upstreams))
			Eventually(func() bool { return f.quick(20) }, recoveryTimeout-time.Since(silent), time.Millisecond).Should(BeTrue())
		})
	}

	It("give requests in flight that have a key the outcome unknown, and run none of them twice", func() {
		const inFlight = 8
		f := startSilenceFleet(2, 4*silenceLimit, silenceLimit)
		for _, u := range f.upstreams {
			u.SetFaults(standin.Faults{SlowMillis: 100})
		}
		done := make(chan []request.Result, 1)
		go func() { done <- f.serve(inFlight, keyOf) }()
		Eventually(f.running, eventuallyTimeout, time.Millisecond).Should(Equal(inFlight))
		f.silence()
		for _, r := range <-done {
			Expect(r.Outcome).To(Equal(fleet.Unknown))
			Expect(problem.KindOf(r.Err)).To(Equal(problem.Timeout))
		}
		for i := range inFlight {
			Expect(f.executions(keyOf(i))).To(Equal(1))
		}
	})

	It("do not affect new requests that have a key", func() {
		f := startSilenceFleet(2, 4*silenceLimit, silenceLimit)
		f.serve(32, nil)
		f.silence()
		Expect(outcomes(f.serve(32, keyOf))).To(HaveKeyWithValue(fleet.Completed, 32))
		for i := range 32 {
			Expect(f.executions(keyOf(i))).To(Equal(1))
		}
	})

	It("are distinguished from slow ones, whose answers are returned", func() {
		const limit = 100 * time.Millisecond
		f := startSilenceFleet(2, eventuallyTimeout, limit)
		for _, u := range f.upstreams {
			u.SetFaults(standin.Faults{SlowMillis: int(5 * limit / time.Millisecond)})
		}
		for range 2 {
			Expect(outcomes(f.serve(16, nil))).To(HaveKeyWithValue(fleet.Completed, 16))
		}
		Expect(outcomes(f.serve(16, keyOf))).To(HaveKeyWithValue(fleet.Completed, 16))
		sent := 0
		for _, u := range f.upstreams {
			sent += u.Load().Requests
		}
		Expect(sent).To(BeNumerically("<=", 48+48/5+32), "repeated attempts stay within the retry budget")
	})
})
