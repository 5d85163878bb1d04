package controller_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/seeds"
)

// Extent of the search for a broken budget.
const (
	waveSeeds   = 20 / seedShare
	longestWave = 4 * time.Hour // virtual
)

var _ = Describe("a wave over 50 instances", func() {
	It("keeps every service's budget at every step, and ends once the faults have ended", func() {
		var durations [waveSeeds]time.Duration
		seeds.Each(waveSeeds, func(seed uint64) {
			defer GinkgoRecover()
			w := newFiveServicesWave(seed)
			w.start()
			stored := w.stored()
			for w.now().Sub(w.waveStart) < longestWave && stored.Wave.Open() {
				w.tick(w.now().Sub(w.waveStart) < faultsEnd)
				stored = w.stored()
				Expect(w.brokenBudget(&stored)).To(BeEmpty(), func() string { return seedReport(seed, w.simWorld) })
			}
			Expect(stored.Wave.State).To(Equal(maintenance.WaveDone), func() string { return seedReport(seed, w.simWorld) })
			durations[seed] = stored.Wave.Finished.Sub(stored.Wave.Started)
			progress := maintenance.ProgressOf(&stored, w.policy)
			Expect(progress.Done + len(progress.Lost)).To(Equal(progress.Total))
			for _, id := range progress.Lost {
				Expect(w.neverBack).To(HaveKey(id))
			}
		})
		GinkgoWriter.Printf("longest wave over %d seeds: %s\n", waveSeeds, slices.Max(durations[:]))
	})
})
