package controller_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// act performs one random action.
func (w *simWorld) act() {
	e := w.entries[w.random.IntN(len(w.entries))]
	n := w.random.IntN(100)
	if n >= 12 && n < 17 && w.random.Float64() >= w.faults {
		n = 100 // this fault does not occur
	}
	switch {
	case n < 12:
		w.advance(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	case n < 13:
		w.advance(time.Duration(w.random.IntN(60)) * time.Second)
	case n < 15:
		w.failEntry(e)
	case n < 16:
		w.outage = !w.outage && w.random.IntN(4) == 0
		w.logEvent("outage %v", w.outage)
	case n < 17:
		w.failInstance()
	case !e.acts() && !e.up:
	case e.paused:
	case n < 30:
		e.renew()
	case n < 50:
		e.pull()
	case n < 54:
		e.readList()
	case n < 66:
		w.exchangeHeartbeats(e)
	case n < 74:
		w.beginWork(e)
	case n < 80:
		w.operate(e)
	case n < 81:
		w.wave(e)
	default:
		w.step(e)
	}
}

func (w *simWorld) failEntry(e *simEntry) {
	healthy := e.up && !e.paused && !e.cutOff && !e.isolated
	switch w.random.IntN(5) {
	case 0:
		if !healthy {
			break
		}
		e.crash()
	case 1:
		e.start()
	case 2:
		e.paused = !e.paused
	case 3:
		e.cutOff = !e.cutOff && !w.anyCutOff()
	case 4:
		e.isolated = !e.isolated
	}
	if !healthy && w.random.IntN(2) == 0 {
		e.paused, e.cutOff, e.isolated = false, false, false
		if !e.up {
			e.start()
		}
	}
	w.logEvent("%s up=%v paused=%v cut=%v isolated=%v", e.id, e.up, e.paused, e.cutOff, e.isolated)
}

func (w *simWorld) anyCutOff() bool {
	return slices.ContainsFunc(w.entries, func(e *simEntry) bool { return e.cutOff })
}

func (w *simWorld) failInstance() {
	ids := sorted(w.instances)
	id := ids[w.random.IntN(len(ids))]
	if _, rebooting := w.returns[id]; rebooting {
		return
	}
	if w.instances[id].State == fleet.Live {
		w.setState(id, fleet.Leaving)
		return
	}
	w.setState(id, fleet.Live)
}

func (w *simWorld) exchangeHeartbeats(e *simEntry) {
	for _, other := range w.entries {
		if other == e || !other.up || other.paused || other.isolated || e.isolated || w.arePartitioned(e, other) || w.random.IntN(5) == 0 {
			continue
		}
		e.receiveHeartbeat(other)
		other.receiveHeartbeat(e)
	}
}

func (w *simWorld) beginWork(e *simEntry) {
	if !e.acts() {
		return
	}
	ids := sorted(w.instances)
	id := ids[w.random.IntN(len(ids))]
	if pool, serves := e.serves(id); serves && e.mayAct() {
		e.work = append(e.work, simWork{instance: id, pool: pool, until: w.now().Add(time.Duration(w.random.Int64N(int64(longestWork))))})
	}
}

// step lets an entry plan and carry the plan out, carry out an older plan after
// a pause, or crash on the way.
func (w *simWorld) step(e *simEntry) {
	n := w.random.IntN(10)
	if n == 0 && w.random.Float64() >= w.faults {
		n = 10
	}
	switch n {
	case 0:
		e.store.writesLeft = w.random.IntN(4)
		e.controller.Step(context.Background())
		e.crash()
		w.logEvent("%s crashed in a step", e.id)
	case 1:
		if s, known := e.Snapshot(context.Background()); known && e.plan == nil {
			e.plan = &simPlan{changes: maintenance.Plan(&s, w.policy)}
		}
	case 2:
		if e.plan != nil {
			e.controller.Apply(context.Background(), e.plan.changes, w.now()) // passes the check of its age, as if paused right after it
			e.plan = nil
		}
	default:
		e.controller.Step(context.Background())
	}
}

func (w *simWorld) operate(e *simEntry) {
	s, known := e.Snapshot(context.Background())
	if !known {
		return
	}
	ids := sorted(w.instances)
	id, pool, force := ids[w.random.IntN(len(ids))], w.budgets[w.random.IntN(len(w.budgets))].Pool, w.random.IntN(2) == 0
	var d maintenance.Disruptions
	var err error
	switch w.random.IntN(4) {
	case 0:
		d, err = maintenance.RequestDrain(&s, id, e.id, force)
	case 1:
		d, err = maintenance.RequestUndrain(&s, id, e.id)
	default:
		d, err = maintenance.RequestMove(&s, id, pool, e.id, force)
	}
	if err == nil {
		_, err = e.controller.Store.SaveDisruptions(context.Background(), d)
	}
	w.logEvent("%s operates on %s, target pool %s: %v", e.id, id, pool, err)
}

func (w *simWorld) wave(e *simEntry) {
	s, known := e.Snapshot(context.Background())
	if !known {
		return
	}
	states := []maintenance.WaveState{maintenance.WaveRunning, maintenance.WavePaused, maintenance.WaveRunning, maintenance.WaveCancelled}
	next, err := maintenance.RequestWaveState(&s, states[w.random.IntN(len(states))])
	if err != nil {
		w.waves++
		next, err = maintenance.RequestWave(&s, maintenance.Wave{ID: fmt.Sprintf("wave-%d", w.waves), By: e.id})
	}
	if err == nil {
		_, _ = e.controller.Store.SaveWave(context.Background(), next) // a later action tries again
	}
}
