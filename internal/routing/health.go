package routing

import "time"

// Limits of ejection.
const (
	failureLimit    = 5                      // consecutive failures that eject an upstream
	slowFactor      = 5                      // an answer is slow above this multiple of its service's mean
	slowFloor       = 100 * time.Millisecond // no answer is slow below it
	slowLimit       = 8                      // consecutive slow answers that eject an upstream
	firstEjection   = 2 * time.Second
	longestEjection = 30 * time.Second
)

// Health decides from the results of its requests whether an upstream gets work.
// An ejected upstream gets none for a period that doubles with each ejection. After
// it, the upstream may have one concurrent request, and one more with each success.
// Health is not safe for concurrent use.
type Health struct {
	failures     int // consecutive failures
	slow         int // consecutive slow answers
	ejections    int // since the upstream last counted as healthy
	ejectedUntil time.Time
	ramp         int // concurrent requests while it is readmitted; 0: no limit
}

// Succeeded records an answer. took is its service time, mean the mean service time
// of the service's upstreams. It reports whether the upstream is to be ejected.
func (h *Health) Succeeded(took, mean time.Duration) bool {
	h.failures = 0
	if mean > 0 && took > max(slowFactor*mean, slowFloor) {
		h.slow++
		return h.slow >= slowLimit
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

// fullRamp is the number of concurrent requests above which a readmitted upstream
// counts as healthy again.
const fullRamp = 8

// Failed records a failure and reports whether the upstream is to be ejected. A
// readmitted upstream is ejected at its first failure.
func (h *Health) Failed() bool {
	h.failures++
	return h.failures >= failureLimit || h.ramp > 0
}

// Eject excludes the upstream from work, starting at now.
func (h *Health) Eject(now time.Time) {
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 4), longestEjection))
	h.ejections++
	h.failures, h.slow, h.ramp = 0, 0, 1
}

// Ejected reports whether the upstream is excluded from work at now.
func (h *Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// MaxConcurrent returns how many concurrent requests the upstream may have, at most
// slots.
func (h *Health) MaxConcurrent(now time.Time, slots int) int {
	switch {
	case h.Ejected(now):
		return 0
	case h.ramp > 0:
		return min(h.ramp, slots)
	}
	return slots
}
