package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/seeds"
)

// Extent of the search for an instance in two pools during a network partition
// between regions.
const (
	regionSettle    = 3 * time.Minute
	regionPartition = 65 * time.Minute
	regionAfter     = 10 * time.Minute
)

// regionSeeds returns one seed with all random faults and one with few.
func regionSeeds() []uint64 { return []uint64{0, 3} }

var _ = DescribeTable("a network partition between regions leaves each instance in one pool, and moves continue afterwards",
	func(near, far int, movesDuring bool) {
		all := regionSeeds()
		seeds.Each(uint64(len(all)), func(i uint64) {
			defer GinkgoRecover()
			seed := all[i]
			r := newRegions(seed, near, far)
			report := func() string { return seedReport(seed, r.simWorld) }
			Expect(r.run(regionSettle)).To(BeEmpty(), report)
			before := r.moves()
			r.partitioned = true
			Expect(r.run(regionPartition)).To(BeEmpty(), report)
			during := r.moves()
			r.partitioned = false
			Expect(r.run(regionAfter)).To(BeEmpty(), report)
			Expect(r.moves()).To(BeNumerically(">", during), report)
			if movesDuring {
				Expect(during).To(BeNumerically(">", before+1), report)
			}
		})
	},
	Entry("with 3 entries at the store and 4 cut off", 3, 4, false),
	Entry("with 4 entries at the store and 3 cut off", 4, 3, true),
	Entry("with 2 entries at the store and 5 cut off", 2, 5, false),
	Entry("with 3 entries at the store and 3 cut off", 3, 3, true),
)
