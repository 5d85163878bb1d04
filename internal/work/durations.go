package work

import "time"

// durations learns how long tasks take, by queue and step. Declared times may
// be off by ten. The pool's lock guards it.
type durations struct {
	byKind map[string]*durationMean
}

func newDurations() *durations { return &durations{byKind: make(map[string]*durationMean)} }

// learn takes in how long a task of a queue took.
func (d *durations) learn(queue string, took time.Duration) {
	m, ok := d.byKind[queue]
	if !ok {
		m = &durationMean{}
		d.byKind[queue] = m
	}
	m.add(took)
}

// expected returns how long a task of the queue takes: what was learned, or
// declared while nothing was.
func (d *durations) expected(queue string, declared time.Duration) time.Duration {
	if m, ok := d.byKind[queue]; ok && m.count >= learnedAfter {
		return m.mean
	}
	return declared
}

// chain returns the expected length of a job's longest chain.
func (d *durations) chain(sub *Submission) time.Duration {
	ends := make([]time.Duration, len(sub.Steps))
	var whole time.Duration
	for i := range sub.Steps {
		var begin time.Duration
		for _, before := range sub.Steps[i].After {
			if before >= 0 && before < i {
				begin = max(begin, ends[before])
			}
		}
		ends[i] = begin + d.expected(sub.Queue, sub.Steps[i].Estimate)
		whole = max(whole, ends[i])
	}
	return whole
}

// learnedAfter is how many tasks of a kind are needed before their mean is
// believed over the declared time.
const learnedAfter = 5
