package scheduler

import (
	"time"

	"persimmonbay/internal/places"
)

// placeWaits holds which tasks wait for a place in their rack, although they have room
// elsewhere. It is lost with the owner, which costs the wait so far. The pool's lock guards it.
type placeWaits struct {
	since      map[TaskID]time.Time // when each wait began; a gang waits under its first task
	runTimes   places.RunTimes
	statistics *places.Statistics
	pressure   map[string]*places.Pressure // by rack
	ahead      map[string]int              // places that waiting tasks of the plan being made need, by rack
}

func newPlaceWaits() *placeWaits {
	return &placeWaits{since: make(map[TaskID]time.Time), statistics: places.NewStatistics(), pressure: make(map[string]*places.Pressure), ahead: make(map[string]int)}
}

// beginPlan forgets which tasks wait in the plan before.
func (w *placeWaits) beginPlan() { clear(w.ahead) }

// asked counts a task that found a place in the rack at once, or did not.
func (w *placeWaits) asked(rack string, found bool) {
	p := w.pressure[rack]
	if p == nil {
		p = new(places.Pressure)
		w.pressure[rack] = p
	}
	p.Add(found)
}

// pressureOn returns the pressure on a rack.
func (w *placeWaits) pressureOn(rack string) places.Pressure {
	if p := w.pressure[rack]; p != nil {
		return *p
	}
	return 0
}

// end ends the wait of a task, if it waits, and reports whether it did.
func (w *placeWaits) end(id TaskID, won bool, now time.Time) bool {
	since, waits := w.since[id]
	if waits {
		delete(w.since, id)
		w.statistics.Ended(won, now.Sub(since))
	}
	return waits
}
