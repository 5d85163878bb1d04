package routing

import "time"

// Bounds of ejection.
const (
	failureRun      = 5                      // failures in a row that eject an upstream
	slowFactor      = 5                      // times its service's mean that make an upstream slow
	slowFloor       = 100 * time.Millisecond // no upstream is slow below it
	slowRun         = 8                      // answers in a row that show it
	firstEjection   = 2 * time.Second
	longestEjection = 30 * time.Second
)

// Health judges one upstream by what came of its requests. Ejected, it gets no
// work for a time that doubles with each ejection; let back, it gets one
// request at once and one more with each success. It is not safe for
// concurrent use.
type Health struct {
	failures  int
	slow      int
	ejections int
	until     time.Time
	ramp      int // requests at once while it is let back; 0: no bound
}

// Succeeded takes in an answer that took this long, against the mean of the
// service's upstreams. It reports whether the upstream is to be ejected.
func (h *Health) Succeeded(took, mean time.Duration) bool {
	h.failures = 0
	if mean > 0 && took > max(slowFactor*mean, slowFloor) {
		h.slow++
		return h.slow >= slowRun
	}
	h.slow = 0
	if h.ramp > 0 {
		h.ramp++
	}
	if h.ramp > fullRamp {
		h.ramp, h.ejections = 0, 0
	}
	return false
}

// fullRamp is the number of requests at once from which on an upstream counts
// as well again.
const fullRamp = 8

// Failed takes in a failure and reports whether the upstream is to be ejected.
func (h *Health) Failed() bool {
	h.failures++
	return h.failures >= failureRun || h.ramp > 0
}

// Eject takes the upstream out from now on.
func (h *Health) Eject(now time.Time) {
	h.until = now.Add(min(firstEjection<<min(h.ejections, 4), longestEjection))
	h.ejections++
	h.failures, h.slow, h.ramp = 0, 0, 1
}

// Ejected reports whether the upstream is out.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.until) }

// Bound returns how many requests the upstream may have at once.
func (h *Health) Bound(now time.Time, slots int) int {
	switch {
	case h.Ejected(now):
		return 0
	case h.ramp > 0:
		return min(h.ramp, slots)
	}
	return slots
}
