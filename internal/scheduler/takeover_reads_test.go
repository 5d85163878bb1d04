package scheduler_test

import "time"

// takeOverReads is how far an owner has read its pool from the store. It reads as
// poolmanager's poolOwnership does.
type takeOverReads struct {
	begin  int           // calls that are left before the jobs: roster, its write, offers
	jobs   int           // pages that are left
	states int           // pages that are left
	end    int           // calls that are left after the states: cancellations
	pause  time.Duration // after the next call that fails
}

const (
	takeOverPageSize = 500
	takeOverBegin    = 3
	takeOverEnd      = 1
	minReadPause     = 50 * time.Millisecond
	maxReadPause     = 400 * time.Millisecond
)

func newTakeOverReads(jobs int) *takeOverReads {
	pages := (jobs + takeOverPageSize - 1) / takeOverPageSize
	return &takeOverReads{begin: takeOverBegin, jobs: pages, states: pages, end: takeOverEnd, pause: minReadPause}
}

func (r *takeOverReads) complete() bool { return r.end == 0 }

// step makes the next call, or two beside each other: of jobs, and of states that are
// behind by a page. It returns after what time the step after it is due, and how many
// calls were made. A refusal takes as long as a page.
func (r *takeOverReads) step(s *takeOverSim) (wait time.Duration, calls int) {
	refused, read := false, false
	for _, left := range r.next() {
		wait = max(wait, s.between(10, 60))
		calls++
		if s.random.Intn(100) < s.failedPages() {
			refused = true
		} else {
			*left--
			read = true
		}
	}
	if read {
		r.pause = minReadPause
	}
	if refused {
		wait += s.between(int(r.pause/time.Millisecond/2), int(r.pause/time.Millisecond))
		r.pause = min(2*r.pause, maxReadPause)
	}
	return wait, calls
}

// next returns the counts of pages that the next step reads one of each.
func (r *takeOverReads) next() []*int {
	switch {
	case r.begin > 0:
		return []*int{&r.begin}
	case r.jobs > 0 && r.jobs < r.states:
		return []*int{&r.jobs, &r.states}
	case r.jobs > 0:
		return []*int{&r.jobs}
	case r.states > 0:
		return []*int{&r.states}
	}
	return []*int{&r.end}
}
