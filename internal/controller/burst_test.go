package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
	"persimmonbay/internal/seeds"
)

// Extent of the bursts. One pool at a time receives burstTimes its mean load,
// for burstFor.
const (
	burstSeeds   = 4
	burstFor     = 8 * time.Second
	burstMean    = 8 // requests under way on one instance
	burstTimes   = 5 // multiple of the mean in a burst
	burstsRun    = 20 * time.Minute
	shortFailure = 90 * time.Second // shorter than LendAfter
)

var _ = Describe("a demand burst of seconds and a short failure", func() {
	It("move no instance without a wave", func() { replayBursts(false) })
	It("move no instance during a wave", func() { replayBursts(true) })
})

func replayBursts(wave bool) {
	seeds.Each(burstSeeds, func(seed uint64) {
		defer GinkgoRecover()
		w := newBurstFleet(seed)
		w.settle()
		if wave {
			w.startWave()
		}
		most, failed := 0, 0
		for start := w.now(); w.now().Sub(start) < burstsRun; {
			most = max(most, w.burst())
			failed += w.shortFailure()
			w.tick(false)
		}
		Expect(most).To(BeNumerically(">=", burstMean*burstTimes), "no burst occurred")
		Expect(failed).To(BeNumerically(">", 5), "too few failures occurred")
		Expect(w.moves()).To(BeZero(), func() string { return seedReport(seed, w.simWorld) })
		stored := w.stored()
		for _, v := range stored.Disruptions.Reservations {
			Expect(v.Kind).To(Equal(maintenance.ForReboot))
		}
		if wave {
			Expect(stored.Wave.State).To(Equal(maintenance.WaveDone))
		}
	})
}

// newBurstFleet returns a fleet with four pools whose budgets each allow an
// instance to be unavailable, and with spares.
func newBurstFleet(seed uint64) *simWave {
	w := &simWave{simWorld: newWorld(seed, 3), lastLive: map[string]time.Time{}, downUntil: map[string]time.Time{}, reserved: map[string]bool{}}
	w.faults = 0
	w.addPool("tags", 0.25, 12)
	w.addPool("renewals", 0.25, 8)
	w.addPool("rights", 0.25, 4)
	w.addPool("inspections", 0.25, 4)
	w.addPool("spare", 1, 3)
	return w
}

func (w *simWave) settle() {
	for range 20 {
		w.tick(false)
	}
}

// startWave starts a wave over the whole fleet.
func (w *simWave) startWave() {
	s, _ := w.entries[0].Snapshot(context.Background())
	wave, err := maintenance.RequestWave(&s, maintenance.Wave{ID: "wave", By: "amal"})
	w.must(err)
	_, err = fleetstore.New(w.store).SaveWave(context.Background(), wave)
	w.must(err)
}

// burst has every entry send work to all instances, burstTimes the mean to
// those of one pool. It returns the most requests under way on one instance.
func (w *simWave) burst() int {
	burstPool := w.budgets[int(w.now().Unix()/int64(burstFor.Seconds()))%len(w.budgets)].Pool
	requestsOn := map[string]int{}
	for _, e := range w.entries {
		e.work = nil
		for _, id := range sorted(w.instances) {
			pool, serves := e.serves(id)
			if !serves || !e.mayAct() {
				continue
			}
			requests := burstMean / len(w.entries)
			if pool == burstPool {
				requests = burstMean * burstTimes
			}
			for range requests {
				e.work = append(e.work, simWork{instance: id, pool: pool, until: w.now().Add(waveTick)})
			}
			requestsOn[id] += requests
		}
	}
	most := 0
	for _, n := range requestsOn {
		most = max(most, n)
	}
	return most
}

// shortFailure at times takes an instance down for less than the constant
// shortFailure, and returns the number of instances taken down.
func (w *simWave) shortFailure() int {
	ids := sorted(w.instances)
	id := ids[w.random.IntN(len(ids))]
	if _, rebooting := w.returns[id]; rebooting || len(w.downUntil) > 0 || w.random.IntN(20) > 0 || w.instances[id].State != fleet.Live {
		return 0
	}
	w.setState(id, fleet.Leaving)
	w.downUntil[id] = w.now().Add(time.Duration(w.random.Int64N(int64(shortFailure))))
	return 1
}
