package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/request"
)

// seeds is the number of runs of the main spec. They use the seeds 0 to
// seeds-1.
const seeds = 200

var _ = Describe("at most once", func() {
	It("holds under faults, and the results that callers receive are true", func() {
		all := runAll(seeds, func(r *run) { r.shed, r.fail = 0.05, 0.02 }, injectFaults)
		fmt.Fprintf(GinkgoWriter, "under faults: %+v\n", all)
		Expect(all.ranTwice).To(BeZero(), "%v", all.failures)
		Expect(all.falseNotRun).To(BeZero(), "%v", all.failures)
		Expect(all.falseCompleted).To(BeZero())
		Expect(all.differentAnswers).To(BeZero())
		Expect(all.folds).NotTo(BeZero(), "no ring was ever full")
		Expect(all.ambiguous).NotTo(BeZero())
		Expect(all.passedOver).NotTo(BeZero())
		Expect(all.withdrawn).NotTo(BeZero())
		Expect(all.replayed).NotTo(BeZero())
		Expect(all.notRun).NotTo(BeZero())
	})

	It("leaves no outcome unknown without faults", func() {
		all := runAll(20, func(r *run) { r.shed = 0.05 }, nil)
		fmt.Fprintf(GinkgoWriter, "healthy: %+v\n", all)
		Expect(all.unknown).To(BeZero())
		Expect(all.ranTwice + all.falseNotRun + all.falseCompleted + all.differentAnswers).To(BeZero())
		Expect(all.replayed).NotTo(BeZero())
	})

	It("does not hold without compare-and-swap", func() {
		all := runAll(20, func(r *run) { r.faults.noVersionCheck = true }, injectFaults)
		Expect(all.ranTwice).NotTo(BeZero())
	})

	It("does not hold without tombstones", func() {
		all := runAll(20, func(r *run) {
			r.wrap = func(l request.Ledger) request.Ledger { return noTombstones{Ledger: l, faults: r.faults, share: 0.05} }
		}, injectFaults)
		Expect(all.falseNotRun).NotTo(BeZero())
	})
})

// runAll runs the seeds 0 to n-1, each in fake time, and returns the sums of
// their results. Each run injects faults with injectFaults, or none if it is nil.
func runAll(n int, prepare func(*run), injectFaults func(*run, *rand.Rand, <-chan struct{})) runSummary {
	GinkgoHelper()
	var all runSummary
	for seed := range uint64(n) {
		r := newRun(seed)
		prepare(r)
		synctest.Test(suite, func(*testing.T) {
			r.start()
			if injectFaults == nil {
				r.callers(nil)
				return
			}
			r.callers(func(random *rand.Rand, ended <-chan struct{}) { injectFaults(r, random, ended) })
		})
		summary := summarize(r)
		for i := range summary.failures {
			summary.failures[i] += fmt.Sprintf(" (seed %d)", seed)
		}
		all.add(summary)
	}
	return all
}

// injectFaults injects random faults until ended is closed, and then ends all
// faults; killed entries stay killed.
func injectFaults(r *run, random *rand.Rand, ended <-chan struct{}) {
	for {
		entry := r.entries[random.IntN(len(r.entries))]
		switch random.IntN(7) {
		case 0:
			r.faults.change(func(f *faults) { f.outage = true })
		case 1:
			r.faults.change(func(f *faults) { f.maxDelay = time.Duration(random.Int64N(int64(800 * time.Millisecond))) })
		case 2:
			r.faults.change(func(f *faults) { f.lostShare = 0.3 })
		case 3:
			r.faults.pause(entry)
		case 4:
			r.faults.change(func(f *faults) { f.cutOff[entry] = true })
		case 5:
			if random.IntN(4) == 0 && entry != r.entries[0] {
				r.faults.change(func(f *faults) { f.killed[entry] = true })
			}
		}
		done := false
		select {
		case <-time.After(time.Duration(random.Int64N(int64(1500 * time.Millisecond)))):
		case <-ended:
			done = true
		}
		if random.IntN(2) == 0 || done {
			endFaults(r)
		}
		if done {
			return
		}
	}
}

func endFaults(r *run) {
	r.faults.change(func(f *faults) { f.outage, f.maxDelay, f.lostShare, f.cutOff = false, 0, 0, map[string]bool{} })
	for _, e := range r.entries {
		r.faults.resume(e)
	}
}
