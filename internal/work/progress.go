package work

// Progress is what is kept of a job's course, beside its submission.
type Progress struct {
	State    JobState
	Done     []byte      // a bit for each task that ended done, occurrence by occurrence
	Failures map[int]int // failed runs by flat task number
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

// clone returns a copy that shares nothing with p.
func (p *Progress) clone() Progress {
	c := Progress{State: p.State, Done: append([]byte(nil), p.Done...)}
	if len(p.Failures) > 0 {
		c.Failures = make(map[int]int, len(p.Failures))
		for n, f := range p.Failures {
			c.Failures[n] = f
		}
	}
	return c
}
