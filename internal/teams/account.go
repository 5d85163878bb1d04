package teams

import "math"

// account is what the pool knows about one team.
type account struct {
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
func (a *account) setExcess(fair float64) {
	if over := a.given.value / max(fair*a.share.Weight, excusedJobs*a.largest); over > 1 {
		a.excess = min(1+int(math.Log2(min(over, 1<<maxExcess))), maxExcess)
	}
}

// askedPerWeight returns the work that was given and that waits, for each unit of weight.
func (a *account) askedPerWeight() float64 { return (a.given.value + a.waiting) / a.share.Weight }

const (
	// excusedJobs is how many of its largest jobs a team may be given at a time whatever its
	// share is: a job that has begun should not be put back by its own first tasks.
	excusedJobs = 2
	// maxExcess bounds the steps of the order, each twice as far above the share.
	maxExcess = 8
)
