package scheduler

import "slices"

// Progress is the part of a job's state that is saved beside its submission.
type Progress struct {
	State    JobState
	Done     []byte        // one bit for each task, by flat task number: set if it is done
	Failures map[int][]int // failed attempts, by flat task number
}

// isDone reports whether the task with the flat number n is done.
func (p *Progress) isDone(n int) bool { return n/8 < len(p.Done) && p.Done[n/8]&(1<<(n%8)) != 0 }

// markDone records that the task with the flat number n is done.
func (p *Progress) markDone(n int) {
	for n/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[n/8] |= 1 << (n % 8)
}

// markFailed records a failed attempt of the task with the flat number n. It returns
// the number of failed attempts, and whether this one was not recorded before.
func (p *Progress) markFailed(n, attempt int) (failures int, added bool) {
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
