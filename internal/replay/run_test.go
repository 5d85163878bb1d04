package replay_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/replay"
	"persimmonbay/internal/seeds"
	"persimmonbay/internal/trace"
)

// traceDir is the directory of the recorded traces.
const traceDir = "../../traces"

// recordedTraces has an entry for each recorded trace.
var recordedTraces = []TableEntry{
	Entry("floods at five times", "flood-5.yaml"),
	Entry("floods at twenty times", "flood-20.yaml"),
	Entry("bursts of each queue in turn, on five services at once", "bursts.yaml"),
	Entry("bursts of each queue of five services, one at a time", "bursts-in-turn.yaml"),
	Entry("two entries with most of the load", "flood-uneven.yaml"),
	Entry("one team against its own class", "team-flood.yaml"),
	Entry("sizes estimated wrongly by a factor of ten", "sizes-off-by-ten.yaml"),
	Entry("an availability zone lost during a flood", "flood-zone-lost.yaml"),
}

// load reads the trace of this file name.
func load(name string) *trace.Trace {
	GinkgoHelper()
	t, err := trace.Load(filepath.Join(traceDir, name))
	Expect(err).NotTo(HaveOccurred())
	return t
}

var _ = Describe("a replay", func() {
	DescribeTable("meets the outcomes stated for the trace",
		func(name string) { Expect(replay.Run(load(name), replay.DeployedVariant).Missed).To(BeEmpty()) },
		recordedTraces,
	)

	DescribeTable("meets the outcomes stated for the trace with other seeds",
		func(name string) {
			seeds.Each(extraSeeds, func(i uint64) {
				defer GinkgoRecover()
				t := load(name)
				t.Seed = 1 + i
				Expect(replay.Run(t, replay.DeployedVariant).Missed).To(BeEmpty(), "seed %d", t.Seed)
			})
		},
		recordedTraces,
	)

	DescribeTable("misses the stated outcomes with other orderings",
		func(variant replay.Variant) {
			Expect(replay.Run(load("flood-5.yaml"), variant).Missed).NotTo(BeEmpty())
		},
		Entry("first come, first served", replay.Variant{Order: replay.OrderFirstCome, Slots: replay.SlotsLent}),
		Entry("strict priority", replay.Variant{Order: replay.OrderPriority, Slots: replay.SlotsLent}),
	)

	It("gives the same report for the same trace", func() {
		t := load("team-flood.yaml")
		Expect(replay.Run(t, replay.DeployedVariant)).To(Equal(replay.Run(t, replay.DeployedVariant)))
	})
})
