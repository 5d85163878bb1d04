package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Load and timing of a rolling restart without a pause between entries.
const (
	rollingEntries = 6
	rollingSteps   = 8                    // rounds from the start of a process to the next restart
	rollingLeaving = 10                   // rounds from the signal to the end of the process
	rollingWork    = 5 * time.Millisecond // time of a request
	rollingSeeds   = 40
)

var _ = Describe("a rolling restart of all entries without a pause", func() {
	It("sheds nothing under half load", func() {
		for seed := range uint64(rollingSeeds) {
			f := newTestFleet(rollingEntries, seed)
			f.advance(20 * time.Second)
			f.advanceUneven()
			f.shed = 0 // requests of the uneven load may be shed, those after it may not
			f.restartInTurn()
			Expect(f.shed).To(BeZero(), "seed %d", seed)
			Expect(f.started).To(BeNumerically(">", 0))
			Expect(f.maxRunning).To(BeNumerically("<=", testSlots))
		}
	})
})

// restartInTurn restarts every entry gracefully under load.
func (f *testFleet) restartInTurn() {
	for i, n := range f.nodes {
		n.leaving = true
		delete(f.confirmed, n.id)
		f.advanceLoaded(rollingLeaving)
		f.crash(i)
		f.restart(i)
		f.advanceLoaded(rollingSteps)
	}
	f.advanceLoaded(2 * int(testTimeout/testRound))
}

// advanceUneven simulates rounds in which one entry after another gets more
// requests than its share of the slots, so that slots move all the time.
func (f *testFleet) advanceUneven() {
	for i := range 200 {
		n := f.nodes[i%len(f.nodes)]
		for range testSlots * testUpstreams {
			n.offer(rollingWork)
		}
		f.advance(testRound / 2)
	}
}

// advanceLoaded simulates rounds in which every entry that is not leaving is
// offered requests for half of its share of the slots.
func (f *testFleet) advanceLoaded(rounds int) {
	for range 4 * rounds {
		for _, n := range f.nodes {
			if !n.dead && !n.leaving {
				for range testSlots * testUpstreams / rollingEntries / 2 {
					n.offer(rollingWork)
				}
			}
		}
		f.advance(testRound / 4)
	}
}
