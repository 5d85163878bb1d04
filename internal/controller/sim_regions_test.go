package controller_test

import (
	"fmt"
	"time"
)

// Frequency of events in the two regions. An event that is drawn once in N
// ticks on average has the constant N.
const (
	regionTick   = 3 * time.Second // at most suspectAfter
	operateEvery = 5               // ticks, for requests of operators in the near region
	restartEvery = 150             // ticks, for a crash of an entry in the near region
	joinEvery    = 300             // ticks, for a new entry in the near region
	startEvery   = 15              // ticks, for the start of an entry that is down
	mostJoining  = 4               // entries
)

// simRegions is a fleet in two regions. The store is in the near one.
type simRegions struct {
	*simWave
	joined int // number of entries that joined
}

// newRegions returns a fleet with the given numbers of entries in the near and
// in the far region.
func newRegions(seed uint64, near, far int) *simRegions {
	w := newWorld(seed, near+far)
	w.addPool("tags", 0.4, 3)
	w.addPool("renewals", 0.4, 3)
	w.addPool("spare", 1, 2)
	for _, e := range w.entries[near:] {
		e.remote = true
	}
	return &simRegions{simWave: &simWave{simWorld: w, waveStart: w.now()}}
}

// tick advances the clock by regionTick. Operators and a wave act in the near
// region, whose entries restart and join.
func (r *simRegions) tick() {
	r.advance(regionTick)
	r.restart()
	if r.joined < mostJoining && r.random.IntN(joinEvery) == 0 {
		r.joined++
		e := r.newEntry(fmt.Sprintf("joined-%d", r.joined))
		e.start()
		r.entries = append(r.entries, e)
		r.logEvent("%s joins", e.id)
	}
	r.act()
	if len(r.runningNear()) > 0 && r.random.IntN(operateEvery) == 0 {
		r.operate(r.nearEntry())
		r.wave(r.nearEntry())
	}
}

// restart crashes entries of the near region at times and starts entries that
// are down.
func (r *simRegions) restart() {
	if len(r.runningNear()) > 0 && r.random.IntN(restartEvery) == 0 {
		e := r.nearEntry()
		e.crash()
		r.logEvent("%s crashes", e.id)
	}
	for _, e := range r.entries {
		if !e.up && (len(r.runningNear()) == 0 || r.random.IntN(startEvery) == 0) {
			e.start()
			r.logEvent("%s starts", e.id)
		}
	}
}

// act has every running entry read changes and exchange heartbeats, and those
// that reach the store plan. The step of an unreachable controller is left out:
// it could only crash.
func (r *simRegions) act() {
	for _, e := range r.entries {
		if e.up {
			e.renew()
			e.pull()
			e.readList()
			r.exchangeHeartbeats(e)
			r.beginWork(e)
		}
	}
	for _, i := range r.random.Perm(len(r.entries)) {
		if e := r.entries[i]; e.up && !(r.partitioned && e.remote) && r.random.IntN(2) == 0 {
			r.step(e)
		}
	}
}

// nearEntry returns a random running entry of the near region.
func (r *simRegions) nearEntry() *simEntry {
	near := r.runningNear()
	return near[r.random.IntN(len(near))]
}

func (r *simRegions) runningNear() []*simEntry {
	var near []*simEntry
	for _, e := range r.entries {
		if e.up && !e.remote {
			near = append(near, e)
		}
	}
	return near
}

// run advances the clock by d and returns the first finding of findInTwoPools,
// or an empty string.
func (r *simRegions) run(d time.Duration) string {
	for until := r.now().Add(d); r.now().Before(until); {
		r.tick()
		if found := r.findInTwoPools(); found != "" {
			return found
		}
	}
	return ""
}
