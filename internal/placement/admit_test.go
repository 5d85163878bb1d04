package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/placement"
)

var _ = DescribeTable("a job that can never run is refused with the limiting resource",
	func(change func(*placement.Job, *placement.Team), named string) {
		fleetWorkers := []placement.Worker{worker("plain", fleet.Resources{MilliCores: 64000, MemoryMB: 131072}),
			worker("accelerated", fleet.Resources{MilliCores: 32000, MemoryMB: 65536, Accelerators: 4})}
		team := placement.Team{Quota: fleet.Resources{MilliCores: 100000, MemoryMB: 200000, Accelerators: 6}, TopClass: fleet.Normal}
		j := job("j", "t", fleet.Normal, cores(4))
		Expect(placement.Admit(j, team, true, fleetWorkers, now)).To(Succeed())
		change(&j, &team)
		err := placement.Admit(j, team, true, fleetWorkers, now)
		Expect(err).To(MatchError(ContainSubstring("can never run: " + named)))
	},
	Entry("processors", func(j *placement.Job, _ *placement.Team) { j.Size.MilliCores = 65000 }, "processors: it needs 65000"),
	Entry("memory", func(j *placement.Job, _ *placement.Team) { j.Size.MemoryMB = 140000 }, "memory: it needs 140000 MB and the largest worker has 131072"),
	Entry("accelerators", func(j *placement.Job, _ *placement.Team) { j.Size.Accelerators = 5 }, "accelerators: it needs 5"),
	Entry("memory of the workers with accelerators", func(j *placement.Job, _ *placement.Team) { j.Size.Accelerators, j.Size.MemoryMB = 2, 100000 }, "memory: it needs 100000 MB and the largest worker with 2 accelerators has 65536"),
	Entry("the quota", func(j *placement.Job, t *placement.Team) { t.Quota.MemoryMB = 100 }, "memory: it needs 8192 MB and the team's quota is 100"),
	Entry("the class", func(j *placement.Job, _ *placement.Team) { j.Class = fleet.Urgent }, "class: the team may use normal"),
	Entry("the deadline", func(j *placement.Job, _ *placement.Team) { j.Deadline = now.Add(time.Second) }, "deadline: a run time of 1m0s"),
)
