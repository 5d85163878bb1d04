package replay_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/replay"
	"persimmonbay/internal/seeds"
	"persimmonbay/internal/trace"
)

// traces is where the recorded traces are.
const traces = "../../traces"

// recorded are all recorded traces.
var recorded = []TableEntry{
	Entry("floods at five times", "flood-5.yaml"),
	Entry("floods at twenty times", "flood-20.yaml"),
	Entry("bursts of each queue in turn, on five services at once", "bursts.yaml"),
	Entry("bursts of each queue of five services, one at a time", "bursts-in-turn.yaml"),
	Entry("two entries with most of the load", "flood-uneven.yaml"),
	Entry("one team against its own class", "team-flood.yaml"),
	Entry("sizes off by ten", "sizes-off-by-ten.yaml"),
	Entry("a zone lost in a flood", "flood-zone-lost.yaml"),
}

func load(name string) *trace.Trace {
	GinkgoHelper()
	t, err := trace.Load(filepath.Join(traces, name))
	Expect(err).NotTo(HaveOccurred())
	return t
}

var _ = Describe("a replay", func() {
	DescribeTable("meets the outcomes stated for the trace",
		func(name string) { Expect(replay.Run(load(name), replay.DeployedVariant).Missed).To(BeEmpty()) },
		recorded,
	)

	DescribeTable("meets the outcomes stated for the trace with other seeds",
		func(name string) {
			seeds.Each(otherSeeds, func(i uint64) {
				defer GinkgoRecover()
				t := load(name)
				t.Seed = 1 + i
				Expect(replay.Run(t, replay.DeployedVariant).Missed).To(BeEmpty(), "seed %d", t.Seed)
			})
		},
		recorded,
	)

	DescribeTable("misses them in the ways that were ruled out",
		func(way replay.Variant) { Expect(replay.Run(load("flood-5.yaml"), way).Missed).NotTo(BeEmpty()) },
		Entry("first come, first served", replay.Variant{Order: replay.OrderFirstCome, Slots: replay.SlotsLent}),
		Entry("strict priority", replay.Variant{Order: replay.OrderPriority, Slots: replay.SlotsLent}),
	)

	It("gives the same report for the same trace", func() {
		t := load("team-flood.yaml")
		Expect(replay.Run(t, replay.DeployedVariant)).To(Equal(replay.Run(t, replay.DeployedVariant)))
	})
})
