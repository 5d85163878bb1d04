package scheduler

import "slices"

// Progress is what is saved of a job's course, beside its submission.
type Progress struct {
	State    JobState
	Done     []byte        // a bit for each task that ended done, occurrence by occurrence
	Failures map[int][]int // attempts that ended failed, by flat task number
}

// isDone reports whether the task with the flat number n ended done.
func (p *Progress) isDone(n int) bool { return n/8 < len(p.Done) && p.Done[n/8]&(1<<(n%8)) != 0 }

// markDone notes that the task with the flat number n ended done.
func (p *Progress) markDone(n int) {
	for n/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[n/8] |= 1 << (n % 8)
}

// markFailed notes that an attempt of the task with the flat number n ended
// failed, and returns how many have; false when it was noted before.
func (p *Progress) markFailed(n, attempt int) (failures int, noted bool) {
	if slices.Contains(p.Failures[n], attempt) {
		return len(p.Failures[n]), false
	}
	if p.Failures == nil {
		p.Failures = make(map[int][]int)
	}
	p.Failures[n] = append(p.Failures[n], attempt)
	return len(p.Failures[n]), true
}

// clone returns a copy that shares nothing with p.
func (p *Progress) clone() Progress {
	c := Progress{State: p.State, Done: append([]byte(nil), p.Done...)}
	if len(p.Failures) > 0 {
		c.Failures = make(map[int][]int, len(p.Failures))
		for n, attempts := range p.Failures {
			c.Failures[n] = slices.Clone(attempts)
		}
	}
	return c
}
