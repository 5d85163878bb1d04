package scheduler_test

import (
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runSeedsFrom runs the simulation with simSeeds consecutive seeds, starting with first.
func runSeedsFrom(first int64, faults overlapFaults) {
	var seeds []int64
	for seed := first; seed < first+simSeeds(); seed++ {
		seeds = append(seeds, seed)
	}
	runSeeds(seeds, faults)
}

// runSeeds runs the simulation with all seeds and fails if any of them violates a rule.
// It reports each such seed, and the shortest of their traces in full. If
// PERSIMMONBAY_TRACES names a folder, all their traces are written there.
func runSeeds(seeds []int64, faults overlapFaults) {
	var failed []string
	shortest := ""
	folder := os.Getenv("PERSIMMONBAY_TRACES")
	for _, seed := range seeds {
		By(fmt.Sprint("seed ", seed))
		violation := newOverlapSim(seed, faults).run()
		if violation == "" {
			continue
		}
		firstLine, _, _ := strings.Cut(violation, "\n")
		failed = append(failed, fmt.Sprintf("seed %d: %s", seed, firstLine))
		if folder != "" {
			Expect(os.WriteFile(fmt.Sprintf("%s/%d.txt", folder, seed), []byte(violation), 0o600)).To(Succeed())
		}
		if shortest == "" || len(violation) < len(shortest) {
			shortest = fmt.Sprintf("seed %d: %s", seed, violation)
		}
	}
	Expect(failed).To(BeEmpty(), "%d of %d seeds violate a rule:\n%s\n\n%s", len(failed), len(seeds), strings.Join(failed, "\n"), shortest)
}

// usualReadDelay is how long an owner that keeps up leaves an answer unread.
const usualReadDelay = 5 * time.Millisecond

// allFaults selects all kinds of faults.
var allFaults = overlapFaults{OverlappingOwners: true, ThreeOwners: true, UnnoticedRestarts: true, LateWrites: true, StaleMachineList: true}

var _ = Describe("owners that overlap, among workers that lose answers, act late, are cut off and die", func() {
	DescribeTable("run no task twice, none after its end was acknowledged, none too often, and lose no job", runSeedsFrom,
		Entry("one after the other", int64(100_000), overlapFaults{}),
		Entry("an owner still works after it has lost the pool", int64(200_000), overlapFaults{OverlappingOwners: true}),
		Entry("three owners within one lease", int64(300_000), overlapFaults{ThreeOwners: true}),
		Entry("workers restart unnoticed", int64(400_000), overlapFaults{UnnoticedRestarts: true}),
		Entry("writes are carried out late", int64(500_000), overlapFaults{LateWrites: true}),
		Entry("the list of machines is old", int64(600_000), overlapFaults{StaleMachineList: true}),
		Entry("all at once", int64(700_000), allFaults),
		// Workers that restarted took deadlines on their former clocks as far in the future:
		// they ran on for longer than their owner expected.
		Entry("workers restart unnoticed and are cut off soon after", int64(980_000), overlapFaults{Recuts: true}),
		// An owner's roster names the tasks on a worker that drains, and no others.
		Entry("workers drain and leave", int64(990_000), overlapFaults{Drains: true, OverlappingOwners: true, LateWrites: true}),
		Entry("workers drain and leave, and three owners within one lease", int64(995_000), overlapFaults{Drains: true, ThreeOwners: true}),
		// Review case 6: an owner took a reply with the first ends for all of them.
		Entry("a reply lists one end", int64(960_000), overlapFaults{EndsPerReply: 1}),
		Entry("a reply lists two ends, and three owners work within one lease", int64(970_000), overlapFaults{EndsPerReply: 2, ThreeOwners: true}),
	)

	// Issue 32: the leases of the former owner's runs ended during a long load. Their
	// extension must not let a task run twice, nor lose an end.
	DescribeTable("do so also where owners poll the workers long before they have the jobs", runSeedsFrom,
		Entry("one after the other", int64(900_000), overlapFaults{SlowLoad: true}),
		Entry("owners overlap", int64(910_000), overlapFaults{SlowLoad: true, OverlappingOwners: true, LateWrites: true}),
		Entry("three owners within one lease", int64(920_000), overlapFaults{SlowLoad: true, ThreeOwners: true, LateWrites: true}),
		Entry("workers restart unnoticed", int64(930_000), overlapFaults{SlowLoad: true, UnnoticedRestarts: true}),
	)

	// Incident 20, an owner that could not keep up: answers that it had received but not
	// read were taken for none. Its tasks ran again although it had the ends of their runs.
	DescribeTable("do so also where the owner reads what has arrived late", runSeedsFrom,
		Entry("up to 10 times as late as usual", int64(800_000), overlapFaults{ReadDelay: 10 * usualReadDelay}),
		Entry("up to 50 times as late", int64(810_000), overlapFaults{ReadDelay: 50 * usualReadDelay}),
		Entry("up to 200 times as late", int64(820_000), overlapFaults{ReadDelay: 200 * usualReadDelay}),
		Entry("later than leases last", int64(830_000), overlapFaults{ReadDelay: 1200 * usualReadDelay}),
		Entry("and workers restart unnoticed", int64(840_000), overlapFaults{ReadDelay: 200 * usualReadDelay, UnnoticedRestarts: true}),
	)

	// Incident 31: each reply of a worker took longer than its poll's timeout. The worker
	// counted as gone, and its tasks ran again after it had listed the ends of their runs.
	DescribeTable("do so also where answers take longer than a poll's timeout", runSeedsFrom,
		Entry("nothing else is wrong", int64(850_000), overlapFaults{ReplyDelay: 2 * time.Second, NoLosses: true}),
		Entry("and pollers do not get their turn for seconds", int64(860_000), overlapFaults{ReplyDelay: 2 * time.Second, PollPause: 6 * time.Second, NoLosses: true}),
		Entry("and calls are lost, workers are cut off and crash", int64(870_000), overlapFaults{ReplyDelay: 2 * time.Second}),
		Entry("and pollers do not get their turn either", int64(880_000), overlapFaults{ReplyDelay: 2 * time.Second, PollPause: 6 * time.Second}),
		Entry("and half of the new connections are refused", int64(910_000), overlapFaults{ReplyDelay: 2 * time.Second, RefusedDials: 50, NoLosses: true}),
		Entry("and an owner still works after it has lost the pool", int64(890_000), overlapFaults{ReplyDelay: 2 * time.Second, OverlappingOwners: true}),
	)

	// Issue 44 (TWICE): the seeds that broke before calls were bound to an incarnation, as CI
	// plays only the first ones of the class above.
	It("run no task twice on workers that restarted unnoticed and were cut off", func() {
		runSeeds([]int64{980_021, 980_254, 980_482, 982_439}, overlapFaults{Recuts: true})
	})

	// Incident 20: a former owner that still works starts a task on the next incarnation
	// of a worker, while the task runs elsewhere. The later owner had fenced the worker,
	// but the next incarnation has not seen its fencing token.
	It("start nothing on a worker that has started again since a later owner fenced it", func() {
		runSeeds([]int64{701_075, 702_003, 702_597, 700_591, 700_611, 700_994, 702_532, 702_708, 700_534, 702_720}, allFaults)
	})
})
