package controller_test

import (
	"context"
	"fmt"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/fleetstore"
	"persimmonbay/internal/maintenance"
)

// Extent of the faults during a simulated wave.
const (
	waveTick     = 2 * time.Second
	faultsEnd    = 25 * time.Minute
	outageBegin  = 6 * time.Minute
	outageEnd    = 9 * time.Minute
	longestDown  = 5 * time.Minute
	knownFailure = 8 * time.Second // failures older than this are known to every plan
)

// simWave runs a wave over a simulated fleet and checks the budgets at every
// step.
type simWave struct {
	*simWorld
	begun    time.Time
	lastLive map[string]time.Time
	fails    map[string]time.Time // until when, by instance
	reserved map[string]bool
}

// newRegistryWave returns the Registry's fleet: 50 workers in three zones,
// racks of four, five services and the spares.
func newRegistryWave(seed uint64) *simWave {
	w := newWorld(seed, 3)
	w.addPool("tags", 0.167, 12)
	w.addPool("renewals", 0.2, 10)
	w.addPool("transfers", 0.125, 8)
	w.addPool("inspections", 0.125, 8)
	w.addPool("rights", 0.25, 8)
	w.addPool("spare", 1, 4)
	return &simWave{simWorld: w, begun: w.now(), lastLive: map[string]time.Time{}, fails: map[string]time.Time{}, reserved: map[string]bool{}}
}

// start settles the fleet and starts the wave.
func (w *simWave) start() {
	for range 20 {
		w.tick(false)
	}
	s, _ := w.entries[0].Snapshot(context.Background())
	wave, err := maintenance.RequestWave(&s, maintenance.Wave{ID: "wave", By: "amal"})
	w.must(err)
	_, err = fleetstore.New(w.store).SaveWave(context.Background(), wave)
	w.must(err)
	w.begun = w.now()
}

// tick lets one step of time pass; controllers race.
func (w *simWave) tick(faults bool) {
	w.advance(waveTick)
	w.endFailures()
	since := w.now().Sub(w.begun)
	w.outage = faults && since > outageBegin && since < outageEnd
	if faults {
		w.fail()
	}
	for _, e := range w.entries {
		if !faults && (!e.up || e.paused) {
			e.start()
		}
	}
	w.entriesAct()
	for id, i := range w.instances {
		if i.State == fleet.Live {
			w.lastLive[id] = w.now()
		}
	}
}

// entriesAct has every entry that is up learn what changed; controllers race.
func (w *simWave) entriesAct() {
	for _, e := range w.entries {
		if !e.up || e.paused {
			continue
		}
		e.renew()
		e.pull()
		e.poll()
		w.heartbeats(e)
	}
	for _, i := range w.random.Perm(len(w.entries)) {
		if e := w.entries[i]; e.up && !e.paused && w.random.IntN(2) == 0 {
			w.step(e)
		}
	}
}

func (w *simWave) endFailures() {
	for _, id := range sorted(w.fails) {
		if !w.fails[id].After(w.now()) {
			delete(w.fails, id)
			w.setState(id, fleet.Live)
		}
	}
}

// fail draws a failure: a rack, an instance, an entry, or a reboot without
// return.
func (w *simWave) fail() {
	ids := sorted(w.instances)
	id := ids[w.random.IntN(len(ids))]
	switch n := w.random.IntN(400); {
	case n < 1:
		for _, other := range ids {
			if w.instances[other].Rack == w.instances[id].Rack {
				w.takeDown(other)
			}
		}
	case n < 4:
		w.takeDown(id)
	case n < 6 && len(w.neverBack) < 2:
		w.neverBack[id] = true
	case n < 12:
		w.faultOfEntry(w.entries[w.random.IntN(len(w.entries))])
	}
}

func (w *simWave) takeDown(id string) {
	if _, rebooting := w.returns[id]; rebooting || w.instances[id].State != fleet.Live {
		return
	}
	w.setState(id, fleet.Leaving)
	w.fails[id] = w.now().Add(time.Duration(w.random.Int64N(int64(longestDown))))
}

// broken describes a budget that the wave has broken, or nothing.
func (w *simWave) broken(truth *maintenance.Snapshot) string {
	if found := w.planned("store", truth.Records, maintenance.Tallies(truth)); found != "" {
		return found
	}
	for _, e := range w.entries {
		if e.acts() {
			s, _ := e.Snapshot(context.Background())
			if found := w.planned(e.id, s.Records, maintenance.Tallies(&s)); found != "" {
				return found
			}
		}
	}
	return w.reservedTooMuch(truth)
}

// planned checks what callers can reach by the records, failures aside: a pool
// keeps what its budget needs.
func (w *simWave) planned(who string, records map[string]maintenance.Record, tallies map[string]maintenance.Tally) string {
	serving := map[string]int{}
	for _, r := range records {
		if r.Phase == maintenance.Serving {
			serving[r.Pool]++
		}
	}
	for _, b := range w.budgets {
		if t := tallies[b.Pool]; !b.Spare && serving[b.Pool] < t.Needed {
			return fmt.Sprintf("by %s %d instances serve %s, its budget needs %d", who, serving[b.Pool], b.Pool, t.Needed)
		}
	}
	return ""
}

// reservedTooMuch checks that nothing was reserved in a pool that failures,
// known for long enough, had left without room.
func (w *simWave) reservedTooMuch(truth *maintenance.Snapshot) string {
	present := map[string]int{}
	for id, r := range truth.Records {
		_, reserved := truth.Disruptions.Find(id)
		if r.Phase == maintenance.Serving && !reserved && w.now().Sub(w.lastLive[id]) < knownFailure {
			present[r.Pool]++
		}
	}
	tallies := maintenance.Tallies(truth)
	now := map[string]bool{}
	for _, v := range truth.Disruptions.Reservations {
		now[v.Instance] = true
		if fresh := !w.reserved[v.Instance] && v.Kind == maintenance.ForReboot; fresh && !tallies[v.Pool].Spare && present[v.Pool] < tallies[v.Pool].Needed {
			return fmt.Sprintf("%s was reserved though only %d instances serve %s, which needs %d", v.Instance, present[v.Pool], v.Pool, tallies[v.Pool].Needed)
		}
	}
	w.reserved = now
	return ""
}
