package scheduler_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// playOverlaps plays as many seeds as the suite does, from first on.
func playOverlaps(first int64, knobs overlapKnobs) {
	var seeds []int64
	for seed := first; seed < first+simSeeds(); seed++ {
		seeds = append(seeds, seed)
	}
	playSeeds(seeds, knobs)
}

// playSeeds plays all seeds and demands that no rule is broken in any; it
// reports all seeds that break one, and the shortest trace in full.
// PERSIMMONBAY_TRACES names a folder for the traces of all of them.
func playSeeds(seeds []int64, knobs overlapKnobs) {
	var broken []string
	shortest := ""
	folder := os.Getenv("PERSIMMONBAY_TRACES")
	for _, seed := range seeds {
		By(fmt.Sprint("seed ", seed))
		breach := newOverlapSim(seed, knobs).run()
		if breach == "" {
			continue
		}
		what, _, _ := strings.Cut(breach, "\n")
		broken = append(broken, fmt.Sprintf("seed %d: %s", seed, what))
		if folder != "" {
			Expect(os.WriteFile(fmt.Sprintf("%s/%d.txt", folder, seed), []byte(breach), 0o600)).To(Succeed())
		}
		if shortest == "" || len(breach) < len(shortest) {
			shortest = fmt.Sprintf("seed %d: %s", seed, breach)
		}
	}
	Expect(broken).To(BeEmpty(), "%d of %d seeds break a rule:\n%s\n\n%s", len(broken), len(seeds), strings.Join(broken, "\n"), shortest)
}

// allOverlaps has all classes of trouble at once.
var allOverlaps = overlapKnobs{Overlap: true, Chain: true, Rebirth: true, LateWrites: true, StaleList: true}

var _ = Describe("owners that overlap, among workers that lose answers, act late, are cut off and die", func() {
	DescribeTable("run no task twice, none after its end was noted, none too often, and lose none", playOverlaps,
		Entry("one after the other", int64(100_000), overlapKnobs{}),
		Entry("an owner works on after it has lost the pool", int64(200_000), overlapKnobs{Overlap: true}),
		Entry("three owners within one lease", int64(300_000), overlapKnobs{Chain: true}),
		Entry("workers are reborn unnoticed", int64(400_000), overlapKnobs{Rebirth: true}),
		Entry("writes are carried out late", int64(500_000), overlapKnobs{LateWrites: true}),
		Entry("the list of machines is old", int64(600_000), overlapKnobs{StaleList: true}),
		Entry("all at once", int64(700_000), allOverlaps),
	)

	// inc-20: an earlier owner that is still at work starts a task on the next incarnation
	// of a worker that the next owner had fenced, while the task runs elsewhere.
	It("start nothing on a worker that has started again since a later owner fenced it", func() {
		playSeeds([]int64{701_075, 702_003, 702_597}, allOverlaps)
	})
})
