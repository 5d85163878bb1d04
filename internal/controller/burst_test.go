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

// Extent of the bursts: each pool in turn has five times its mean of work.
const (
	burstSeeds   = 4
	burstFor     = 8 * time.Second
	burstMean    = 8 // requests at work on an instance
	burstTimes   = 5 // of the mean, in a burst
	burstsRun    = 20 * time.Minute
	shortFailure = 90 * time.Second // shorter than what is stood in for
)

var _ = Describe("a demand burst of seconds and a short failure", func() {
	It("move no instance while the fleet rests", func() { replayBursts(false) })
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
		for begun := w.now(); w.now().Sub(begun) < burstsRun; {
			most = max(most, w.burst())
			failed += w.shortFailure()
			w.tick(false)
		}
		Expect(most).To(BeNumerically(">=", burstMean*burstTimes), "there were bursts")
		Expect(failed).To(BeNumerically(">", 5), "there were failures")
		Expect(w.moves()).To(BeZero(), func() string { return seedReport(seed, w.simWorld) })
		truth := w.truth()
		for _, v := range truth.Disruptions.Reservations {
			Expect(v.Kind).To(Equal(maintenance.ForReboot))
		}
		if wave {
			Expect(truth.Wave.State).To(Equal(maintenance.WaveDone))
		}
	})
}

// newBurstFleet returns pools that may each miss an instance, and spares.
func newBurstFleet(seed uint64) *simWave {
	w := &simWave{simWorld: newWorld(seed, 3), lastLive: map[string]time.Time{}, fails: map[string]time.Time{}, reserved: map[string]bool{}}
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

// startWave starts a wave over the settled fleet.
func (w *simWave) startWave() {
	s, _ := w.entries[0].Snapshot(context.Background())
	wave, err := maintenance.RequestWave(&s, maintenance.Wave{ID: "wave", By: "amal"})
	w.must(err)
	_, err = fleetstore.New(w.store).SaveWave(context.Background(), wave)
	w.must(err)
}

// burst has every entry send work: five times the mean to the pool whose turn
// it is. It returns the most work under way on one instance.
func (w *simWave) burst() int {
	turn := w.budgets[int(w.now().Unix()/int64(burstFor.Seconds()))%len(w.budgets)].Pool
	at := map[string]int{}
	for _, e := range w.entries {
		e.work = nil
		for _, id := range sorted(w.instances) {
			pool, serves := e.serves(id)
			if !serves || !e.mayAct() {
				continue
			}
			requests := burstMean / len(w.entries)
			if pool == turn {
				requests = burstMean * burstTimes
			}
			for range requests {
				e.work = append(e.work, simWork{instance: id, pool: pool, until: w.now().Add(waveTick)})
			}
			at[id] += requests
		}
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	return most
}

// shortFailure takes an instance down for less than a minute and a half, at
// times, and returns how many.
func (w *simWave) shortFailure() int {
	ids := sorted(w.instances)
	id := ids[w.random.IntN(len(ids))]
	if _, rebooting := w.returns[id]; rebooting || len(w.fails) > 0 || w.random.IntN(20) > 0 || w.instances[id].State != fleet.Live {
		return 0
	}
	w.setState(id, fleet.Leaving)
	w.fails[id] = w.now().Add(time.Duration(w.random.Int64N(int64(shortFailure))))
	return 1
}
