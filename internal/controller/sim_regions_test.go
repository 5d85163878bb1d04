package controller_test

import (
	"fmt"
	"time"
)

// Timing of what happens in two regions, in ticks.
const (
	regionTick   = 3 * time.Second // no longer than silentFor
	operateEvery = 5               // on average, by operators on the side of the store
	restartEvery = 150             // on average, of an entry on the side of the store
	joinEvery    = 300             // on average, of a new entry there
	startEvery   = 15              // on average, of an entry that is down
	mostJoining  = 4
)

// simRegions is a fleet in two regions, the near one with the store.
type simRegions struct {
	*simWave
	joined int // entries
}

// newRegions returns a fleet with so many entries in the region of the store
// and in the other one.
func newRegions(seed uint64, near, far int) *simRegions {
	w := newWorld(seed, near+far)
	w.addPool("tags", 0.4, 3)
	w.addPool("renewals", 0.4, 3)
	w.addPool("spare", 1, 2)
	for _, e := range w.entries[near:] {
		e.remote = true
	}
	return &simRegions{simWave: &simWave{simWorld: w, begun: w.now()}}
}

// tick lets one step of time pass while operators and a wave use the side of
// the store, whose entries restart and join.
func (r *simRegions) tick() {
	r.advance(regionTick)
	r.restart()
	if r.joined < mostJoining && r.random.IntN(joinEvery) == 0 {
		r.joined++
		e := r.newEntry(fmt.Sprintf("joined-%d", r.joined))
		e.start()
		r.entries = append(r.entries, e)
		r.note("%s joins", e.id)
	}
	r.act()
	if len(r.upNear()) > 0 && r.random.IntN(operateEvery) == 0 {
		r.operate(r.near())
		r.wave(r.near())
	}
}

// restart has entries on the side of the store crash, and those that are down
// start again a while later.
func (r *simRegions) restart() {
	if len(r.upNear()) > 0 && r.random.IntN(restartEvery) == 0 {
		e := r.near()
		e.crash()
		r.note("%s crashes", e.id)
	}
	for _, e := range r.entries {
		if !e.up && (len(r.upNear()) == 0 || r.random.IntN(startEvery) == 0) {
			e.start()
			r.note("%s starts", e.id)
		}
	}
}

// act has every entry that is up learn what changed, and those that reach the
// store plan: a cut-off controller could only crash.
func (r *simRegions) act() {
	for _, e := range r.entries {
		if e.up {
			e.renew()
			e.pull()
			e.poll()
			r.heartbeats(e)
			r.beginWork(e)
		}
	}
	for _, i := range r.random.Perm(len(r.entries)) {
		if e := r.entries[i]; e.up && !(r.split && e.remote) && r.random.IntN(2) == 0 {
			r.step(e)
		}
	}
}

// near draws an entry that is up on the side of the store.
func (r *simRegions) near() *simEntry {
	near := r.upNear()
	return near[r.random.IntN(len(near))]
}

func (r *simRegions) upNear() []*simEntry {
	var near []*simEntry
	for _, e := range r.entries {
		if e.up && !e.remote {
			near = append(near, e)
		}
	}
	return near
}

// run lets time pass and returns what check finds first, or nothing.
func (r *simRegions) run(d time.Duration) string {
	for until := r.now().Add(d); r.now().Before(until); {
		r.tick()
		if found := r.onePool(); found != "" {
			return found
		}
	}
	return ""
}
