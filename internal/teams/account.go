package teams

import (
	"math"
	"time"
)

// Account is what a pool knows about one team with a share. The methods of a nil Account
// are those of a team without one. Once its team loses its share, an Account changes nothing.
type Account struct {
	share   Share
	meter   meter
	given   decayingSum // work that was started for the team, in machine-seconds
	waiting float64     // work that waits for room, in machine-seconds
	largest float64     // work of the largest job, in machine-seconds
	excess  int
	counts  Counts
}

// setExcess sets by how much the team is above its share, given the fair amount of work for
// each unit of weight. Few jobs, however large, put no team above its share.
func (a *Account) setExcess(fair float64) {
	if over := a.given.value / max(fair*a.share.Weight, excusedJobs*a.largest); over > 1 {
		a.excess = min(1+int(math.Log2(min(over, 1<<maxExcess))), maxExcess)
	}
}

// spentFor returns for how long from now on the weight allows no further job; 0 or less: it
// allows one, or the team has no weight and sends nothing.
func (a *Account) spentFor(now time.Time) time.Duration {
	if a.share.Weight > 0 {
		return a.meter.spentFor(a.share.Weight, now)
	}
	if a.counts.Beyond == 0 {
		return 0
	}
	return noWeightFor
}

// noWeightFor is how long a team without weight is said to have spent it: longer than any
// report of that is used, and not so long that it, rather than room, sets the time after
// which callers come again.
const noWeightFor = 2 * time.Second

// askedPerWeight returns the work that was given and that waits, for each unit of weight.
func (a *Account) askedPerWeight() float64 { return (a.given.value + a.waiting) / a.share.Weight }

const (
	// excusedJobs is how many of its largest jobs a team may be given at a time whatever its
	// share is: a job that has begun should not be put back by its own first tasks.
	excusedJobs = 2
	// maxExcess bounds the steps of the order, each twice as far above the share.
	maxExcess = 8
)

// Excess returns by how much the team was above its share at the last Update of the Order: 0
// if it was not, else 1 and one more for each doubling. The lowest goes first.
func (a *Account) Excess() int {
	if a == nil {
		return 0
	}
	return a.excess
}

// Priority returns the priority of the team.
func (a *Account) Priority() int {
	if a == nil {
		return 0
	}
	return a.share.Priority
}

// Wait records that work of the team waits for room, in machine-seconds above 0. The next
// Update takes it into account.
func (a *Account) Wait(work float64) {
	if a != nil {
		a.waiting += work
	}
}

// Give records that work of the team is started, in machine-seconds. A negative amount
// corrects an earlier one.
func (a *Account) Give(work float64, now time.Time) {
	if a != nil {
		a.given.add(work, now)
		a.counts.Given += work
	}
}

// Accept counts a job of the team that was accepted at the given time, with its work in
// machine-seconds, and reports whether the team's weight allows it. A weight of 0 allows none.
func (a *Account) Accept(work float64, at time.Time) (within bool) {
	if a == nil {
		return true
	}
	a.largest = max(a.largest, work)
	if within = a.meter.accept(at, a.share.Weight); within {
		a.counts.Within++
	} else {
		a.counts.Beyond++
	}
	return within
}
