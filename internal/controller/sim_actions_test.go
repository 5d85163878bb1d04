package controller_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

// act does one random thing.
func (w *simWorld) act() {
	e := w.entries[w.random.IntN(len(w.entries))]
	n := w.random.IntN(100)
	if n >= 12 && n < 17 && w.random.Float64() >= w.faults {
		n = 100 // this fault does not take place
	}
	switch {
	case n < 12:
		w.advance(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	case n < 13:
		w.advance(time.Duration(w.random.IntN(60)) * time.Second)
	case n < 15:
		w.faultOfEntry(e)
	case n < 16:
		w.outage = !w.outage && w.random.IntN(4) == 0
		w.note("outage %v", w.outage)
	case n < 17:
		w.faultOfInstance()
	case !e.acts() && !e.up:
	case e.paused:
	case n < 30:
		e.renew()
	case n < 50:
		e.pull()
	case n < 54:
		e.poll()
	case n < 66:
		w.heartbeats(e)
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

func (w *simWorld) faultOfEntry(e *simEntry) {
	whole := e.up && !e.paused && !e.cut && !e.isolated
	switch w.random.IntN(5) {
	case 0:
		if !whole {
			break
		}
		e.crash()
	case 1:
		e.start()
	case 2:
		e.paused = !e.paused
	case 3:
		e.cut = !e.cut && !w.someoneCut()
	case 4:
		e.isolated = !e.isolated
	}
	if !whole && w.random.IntN(2) == 0 {
		e.paused, e.cut, e.isolated = false, false, false
		if !e.up {
			e.start()
		}
	}
	w.note("%s up=%v paused=%v cut=%v isolated=%v", e.id, e.up, e.paused, e.cut, e.isolated)
}

func (w *simWorld) someoneCut() bool {
	return slices.ContainsFunc(w.entries, func(e *simEntry) bool { return e.cut })
}

func (w *simWorld) faultOfInstance() {
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

func (w *simWorld) heartbeats(e *simEntry) {
	for _, other := range w.entries {
		if other == e || !other.up || other.paused || other.isolated || e.isolated || w.parted(e, other) || w.random.IntN(5) == 0 {
			continue
		}
		e.hear(other)
		other.hear(e)
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

// step plans and carries out, carries out an older plan after a pause, or
// crashes on the way.
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
		w.note("%s crashed in a step", e.id)
	case 1:
		if s, known := e.Snapshot(context.Background()); known && e.plan == nil {
			e.plan = &simPlan{changes: maintenance.Plan(&s, w.policy)}
		}
	case 2:
		if e.plan != nil {
			e.controller.Apply(context.Background(), e.plan.changes, w.now()) // paused after it looked at the time
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
	w.note("%s operates on %s towards %s: %v", e.id, id, pool, err)
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
		_, _ = e.controller.Store.SaveWave(context.Background(), next) // a later try makes up for it
	}
}
