package controller_test

import (
	"fmt"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/seeds"
)

// Extent of the search for an instance in two pools.
const (
	onePoolSeeds   = 240 / seedShare
	onePoolActions = 1000
)

var _ = Describe("an instance", func() {
	It("is in exactly one pool in all views that entries act on, at every step", func() {
		var moves atomic.Int64
		seeds.Each(onePoolSeeds, func(seed uint64) {
			defer GinkgoRecover()
			w := newWorld(seed, 3)
			w.addPool("tags", 0.4, 3)
			w.addPool("renewals", 0.4, 3)
			w.addPool("spare", 1, 2)
			for range onePoolActions {
				w.act()
				Expect(w.findInTwoPools()).To(BeEmpty(), func() string { return seedReport(seed, w) })
			}
			moves.Add(int64(w.moves()))
		})
		GinkgoWriter.Printf("moves over %d seeds: %d\n", onePoolSeeds, moves.Load())
		Expect(moves.Load()).To(BeNumerically(">", onePoolSeeds), "too few instances were moved")
	})
})

func seedReport(seed uint64, w *simWorld) string {
	return fmt.Sprintf("seed %d\n%s", seed, strings.Join(w.events, "\n"))
}
