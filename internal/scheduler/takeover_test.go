package scheduler_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/seeds"
)

// takeOverSeeds is how many of the simulation's seeds one run plays of those that
// PERSIMMONBAY_SEEDS asks for: each takes as long as ten of the other simulations.
func takeOverSeeds() uint64 {
	if n := simSeeds(); n != usualSeeds {
		return uint64(n)
	}
	return 4
}

var _ = Describe("owners that lose a pool with 3,000 unsaved changes and 5,000 waiting jobs", func() {
	// Issue 32: a pool stood still after a change of owner in a turn, and its long-running
	// tasks did not start again.
	It("start the first task in time, long-running ones first, none twice, lose none and call the store seldom", func() {
		var mu sync.Mutex
		var failed []string
		seeds.Each(takeOverSeeds(), func(seed uint64) {
			violation := newTakeOverSim(int64(seed)).run()
			if violation == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, fmt.Sprintf("seed %d: %s", seed, violation))
		})
		Expect(failed).To(BeEmpty())
	})
})
