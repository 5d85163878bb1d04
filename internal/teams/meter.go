package teams

import (
	"slices"
	"time"
)

// Window is the span over which the jobs of a team are counted against its weight, and
// the time constant with which the work that it was given is forgotten. It spans the
// alternation of load between pools, so that a team whose callers take turns keeps to its
// weight on average.
const Window = 5 * time.Second

// meter counts the jobs of one team that were accepted within its weight.
type meter struct {
	times []time.Time // of acceptance, ascending; none older than twice the window before the latest
}

// limit returns how many jobs the weight allows in a window: at least one, unless it is 0.
func limit(weight float64) int {
	if weight <= 0 {
		return 0
	}
	return max(int(weight*Window.Seconds()), 1)
}

// spentFor returns for how long from now on a weight above 0 allows no further job; 0 or less:
// it allows one.
func (m *meter) spentFor(weight float64, now time.Time) time.Duration {
	n := limit(weight)
	if len(m.times) < n {
		return 0
	}
	return m.times[len(m.times)-n].Add(Window).Sub(now)
}

// accept counts a job that was accepted at the given time, and reports whether it is within
// the weight, in jobs a second. Jobs may be reported out of order, as after a take-over;
// one that is older than what the meter remembers is within.
func (m *meter) accept(at time.Time, weight float64) bool {
	end, _ := slices.BinarySearchFunc(m.times, at, func(t, at time.Time) int {
		if t.After(at) {
			return 1
		}
		return -1
	})
	begin, _ := slices.BinarySearchFunc(m.times, at.Add(-Window), func(t, from time.Time) int {
		if t.After(from) {
			return 1
		}
		return -1
	})
	if end-begin >= limit(weight) {
		return false
	}
	m.times = slices.Insert(m.times, end, at)
	oldest := m.times[len(m.times)-1].Add(-2 * Window)
	expired := 0
	for m.times[expired].Before(oldest) {
		expired++
	}
	m.times = slices.Delete(m.times, 0, expired)
	return true
}
