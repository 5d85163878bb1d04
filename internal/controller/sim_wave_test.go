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
	knownFailure = 8 * time.Second // every plan takes account of failures older than this
)

// simWave runs a wave over a simulated fleet and checks the budgets at every
// step.
type simWave struct {
	*simWorld
	waveStart time.Time
	lastLive  map[string]time.Time
	downUntil map[string]time.Time // end of the failure, by instance
	reserved  map[string]bool
}

// newFiveServicesWave returns the fleet of the Registry, 50 instances: five
// services and four spares, in three zones and in racks of four.
func newFiveServicesWave(seed uint64) *simWave {
	w := newWorld(seed, 3)
	w.addPool("tags", 0.167, 12)
	w.addPool("renewals", 0.2, 10)
	w.addPool("transfers", 0.125, 8)
	w.addPool("inspections", 0.125, 8)
	w.addPool("rights", 0.25, 8)
	w.addPool("spare", 1, 4)
	return &simWave{simWorld: w, waveStart: w.now(), lastLive: map[string]time.Time{}, downUntil: map[string]time.Time{}, reserved: map[string]bool{}}
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
	w.waveStart = w.now()
}

// tick advances the clock by waveTick, draws faults if faults is set, and has
// all entries act.
func (w *simWave) tick(faults bool) {
	w.advance(waveTick)
	w.endFailures()
	since := w.now().Sub(w.waveStart)
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

// entriesAct has every running entry read changes; then a random half of them
// step in random order, as competing controllers.
func (w *simWave) entriesAct() {
	for _, e := range w.entries {
		if !e.up || e.paused {
			continue
		}
		e.renew()
		e.pull()
		e.readList()
		w.exchangeHeartbeats(e)
	}
	for _, i := range w.random.Perm(len(w.entries)) {
		if e := w.entries[i]; e.up && !e.paused && w.random.IntN(2) == 0 {
			w.step(e)
		}
	}
}

func (w *simWave) endFailures() {
	for _, id := range sorted(w.downUntil) {
		if !w.downUntil[id].After(w.now()) {
			delete(w.downUntil, id)
			w.setState(id, fleet.Live)
		}
	}
}

// fail draws a failure of a rack, of an instance or of an entry, or a reboot
// from which the instance does not return.
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
		w.failEntry(w.entries[w.random.IntN(len(w.entries))])
	}
}

func (w *simWave) takeDown(id string) {
	if _, rebooting := w.returns[id]; rebooting || w.instances[id].State != fleet.Live {
		return
	}
	w.setState(id, fleet.Leaving)
	w.downUntil[id] = w.now().Add(time.Duration(w.random.Int64N(int64(longestDown))))
}

// brokenBudget describes a budget that the wave has broken, or returns an empty
// string.
func (w *simWave) brokenBudget(stored *maintenance.Snapshot) string {
	if found := w.checkServing("store", stored.Records, maintenance.PoolCounts(stored)); found != "" {
		return found
	}
	for _, e := range w.entries {
		if e.acts() {
			s, _ := e.Snapshot(context.Background())
			if found := w.checkServing(e.id, s.Records, maintenance.PoolCounts(&s)); found != "" {
				return found
			}
		}
	}
	return w.checkReserved(stored)
}

// checkServing describes a pool with fewer serving instances by the records
// than its budget requires, failures aside, or returns an empty string.
func (w *simWave) checkServing(who string, records map[string]maintenance.Record, counts map[string]maintenance.PoolCount) string {
	serving := map[string]int{}
	for _, r := range records {
		if r.Phase == maintenance.Serving {
			serving[r.Pool]++
		}
	}
	for _, b := range w.budgets {
		if t := counts[b.Pool]; !b.Spare && serving[b.Pool] < t.Needed {
			return fmt.Sprintf("in the records of %s, %d instances serve %s and its budget requires %d", who, serving[b.Pool], b.Pool, t.Needed)
		}
	}
	return ""
}

// checkReserved describes an instance that was reserved although its pool had
// none to spare because of failures older than knownFailure, or returns an
// empty string.
func (w *simWave) checkReserved(stored *maintenance.Snapshot) string {
	present := map[string]int{}
	for id, r := range stored.Records {
		_, reserved := stored.Disruptions.Find(id)
		if r.Phase == maintenance.Serving && !reserved && w.now().Sub(w.lastLive[id]) < knownFailure {
			present[r.Pool]++
		}
	}
	counts := maintenance.PoolCounts(stored)
	reserved := map[string]bool{}
	for _, v := range stored.Disruptions.Reservations {
		reserved[v.Instance] = true
		if added := !w.reserved[v.Instance] && v.Kind == maintenance.ForReboot; added && !counts[v.Pool].Spare && present[v.Pool] < counts[v.Pool].Needed {
			return fmt.Sprintf("%s was reserved although only %d instances serve %s, whose budget requires %d", v.Instance, present[v.Pool], v.Pool, counts[v.Pool].Needed)
		}
	}
	w.reserved = reserved
	return ""
}
