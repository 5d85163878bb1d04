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

// seeds is how many runs each proof takes; seed n is the number n.
const seeds = 200

var _ = Describe("at most once", func() {
	It("holds under faults, and what callers are told is true", func() {
		all := runAll(seeds, func(r *run) { r.shed, r.fail = 0.05, 0.02 }, disturb)
		fmt.Fprintf(GinkgoWriter, "under faults: %+v\n", all)
		Expect(all.doubles).To(BeZero(), "%v", all.firstFaults)
		Expect(all.untrue).To(BeZero(), "%v", all.firstFaults)
		Expect(all.unfounded).To(BeZero())
		Expect(all.differing).To(BeZero())
		Expect(all.folds).NotTo(BeZero(), "rings never filled")
		Expect(all.ambiguous).NotTo(BeZero())
		Expect(all.passedOver).NotTo(BeZero())
		Expect(all.withdrawn).NotTo(BeZero())
		Expect(all.replayed).NotTo(BeZero())
		Expect(all.notRun).NotTo(BeZero())
	})

	It("leaves nothing unknown when all is well", func() {
		all := runAll(20, func(r *run) { r.shed = 0.05 }, nil)
		fmt.Fprintf(GinkgoWriter, "healthy: %+v\n", all)
		Expect(all.unknown).To(BeZero())
		Expect(all.doubles + all.untrue + all.unfounded + all.differing).To(BeZero())
		Expect(all.replayed).NotTo(BeZero())
	})

	It("is seen to fail without compare and swap", func() {
		all := runAll(20, func(r *run) { r.faults.noCheck = true }, disturb)
		Expect(all.doubles).NotTo(BeZero())
	})

	It("is seen to fail without tombstones", func() {
		all := runAll(20, func(r *run) {
			r.wrap = func(l request.Ledger) request.Ledger { return forgetful{Ledger: l, faults: r.faults, share: 0.05} }
		}, disturb)
		Expect(all.untrue).NotTo(BeZero())
	})
})

// runAll runs n seeds, each in fake time, and sums up.
func runAll(n int, prepare func(*run), disturb func(*run, *rand.Rand, <-chan struct{})) verdicts {
	GinkgoHelper()
	var all verdicts
	for seed := range uint64(n) {
		r := newRun(seed)
		prepare(r)
		synctest.Test(suite, func(*testing.T) {
			r.start()
			if disturb == nil {
				r.callers(nil)
				return
			}
			r.callers(func(random *rand.Rand, ended <-chan struct{}) { disturb(r, random, ended) })
		})
		v := judge(r)
		for i := range v.firstFaults {
			v.firstFaults[i] += fmt.Sprintf(" (seed %d)", seed)
		}
		all.add(v)
	}
	return all
}

// disturb goes from fault to fault until the callers have ended, and then
// heals all but the killed.
func disturb(r *run, random *rand.Rand, ended <-chan struct{}) {
	for {
		entry := r.entries[random.IntN(len(r.entries))]
		switch random.IntN(7) {
		case 0:
			r.faults.change(func(f *faults) { f.outage = true })
		case 1:
			r.faults.change(func(f *faults) { f.slow = time.Duration(random.Int64N(int64(800 * time.Millisecond))) })
		case 2:
			r.faults.change(func(f *faults) { f.lose = 0.3 })
		case 3:
			r.faults.pause(entry)
		case 4:
			r.faults.change(func(f *faults) { f.cut[entry] = true })
		case 5:
			if random.IntN(4) == 0 && entry != r.entries[0] {
				r.faults.change(func(f *faults) { f.killed[entry] = true })
			}
		}
		over := false
		select {
		case <-time.After(time.Duration(random.Int64N(int64(1500 * time.Millisecond)))):
		case <-ended:
			over = true
		}
		if random.IntN(2) == 0 || over {
			heal(r)
		}
		if over {
			return
		}
	}
}

func heal(r *run) {
	r.faults.change(func(f *faults) { f.outage, f.slow, f.lose, f.cut = false, 0, 0, map[string]bool{} })
	for _, e := range r.entries {
		r.faults.resume(e)
	}
}
