package scheduler

import "time"

// adviceCalls bounds a pool's calls to the advice service. The service handles one call of
// a process at a time and refuses calls once too many wait. A call that was given up goes
// on there, so more calls than it can answer soon would keep it busy with answers that
// nobody waits for. The pool's lock guards it.
type adviceCalls struct {
	inFlight    int
	pausedUntil time.Time     // no call before it: the service did not answer the last one
	pause       time.Duration // the last such pause; 0: the last call was answered
	deferred    []*stage      // those in the plan that wait for tickets and could not start on them yet
	waiting     int           // stages of the plan that could start and have to wait with their calls
	backlog     int           // the same in the plan before
}

// beginPlan forgets which stages waited in the plan before.
func (c *adviceCalls) beginPlan() { c.deferred, c.backlog, c.waiting = c.deferred[:0], c.waiting, 0 }

// mayCall reports whether a call that takes the given time may be sent at now. A second
// one may be on its way, so that the service is not idle in between, if its tickets come
// in time to be used.
func (c *adviceCalls) mayCall(takes, validity time.Duration, now time.Time) bool {
	if now.Before(c.pausedUntil) {
		return false
	}
	return c.inFlight == 0 || c.inFlight < maxAdviceCalls && maxAdviceCalls*takes <= validity
}

// ended records the outcome of a call at now.
func (c *adviceCalls) ended(answered bool, now time.Time) {
	c.inFlight--
	if answered {
		c.pause = 0
		return
	}
	if now.Before(c.pausedUntil) {
		return // the other call of the same moment
	}
	c.pause = min(max(2*c.pause, adviceRetryDelay), maxAdvicePause)
	c.pausedUntil = now.Add(c.pause)
}

// workersToName returns how many workers a call may name for a stage with the given number
// of waiting tasks, so many calls of which were granted none. Each of them delays the answer,
// and so the calls of stages behind it.
func (c *adviceCalls) workersToName(tasks, misses int) int {
	n := usualAdvisedWorkers
	if c.backlog >= adviceBacklog {
		n = min(max(advisedPerTask*tasks, minAdvisedWorkers), n)
	}
	return min(n<<min(misses, maxAdvisedDoublings), maxAdvisedWorkers)
}

const (
	// maxAdviceCalls is the number of calls in flight: one that is handled, and one that
	// waits for its turn.
	maxAdviceCalls = 2
	// adviceRetryDelay is the first wait before workers are named again that were refused, and
	// the first one after a call without an answer, which doubles up to maxAdvicePause: below the
	// users' bound for a job with nothing running (3 s).
	adviceRetryDelay = 500 * time.Millisecond
	maxAdvicePause   = 2 * time.Second
	// adviceTimeout is how long an answer may take beyond the time that the service needs.
	adviceTimeout = 3 * time.Second
	// usualAdvisedWorkers is the number of workers that a step's first call names. It doubles
	// with each call that grants none, up to what the protocol allows.
	usualAdvisedWorkers = 30
	maxAdvisedWorkers   = 100
	maxAdvisedDoublings = 4 // until any number of workers to name has reached maxAdvisedWorkers
	// adviceBacklog is the number of waiting stages from which on a call names only
	// advisedPerTask workers for each waiting task, and at least minAdvisedWorkers.
	adviceBacklog     = 4
	advisedPerTask    = 3
	minAdvisedWorkers = 10
)
