package scheduler

import "time"

// durations learns how long tasks and steps take, by queue. Declared times may
// be off by ten. The pool's lock guards it.
type durations struct {
	tasks map[string]*durationMean // of single tasks
	steps map[string]*durationMean // of the longest task of each step
}

func newDurations() *durations {
	return &durations{tasks: make(map[string]*durationMean), steps: make(map[string]*durationMean)}
}

// learn takes in how long a task of a queue took.
func (d *durations) learn(queue string, took time.Duration) { learnIn(d.tasks, queue, took) }

// learnStep takes in how long the longest task of a step of a queue took.
func (d *durations) learnStep(queue string, took time.Duration) { learnIn(d.steps, queue, took) }

func learnIn(means map[string]*durationMean, queue string, took time.Duration) {
	m, ok := means[queue]
	if !ok {
		m = &durationMean{}
		means[queue] = m
	}
	m.add(took)
}

// expected returns how long a task of the queue takes: what was learned, or
// declared while nothing was.
func (d *durations) expected(queue string, declared time.Duration) time.Duration {
	if m, ok := d.tasks[queue]; ok && m.count >= learnedAfter {
		return m.mean
	}
	return declared
}

// step returns how long a step of the queue takes, whose tasks run side by side:
// as long as the longest of them.
func (d *durations) step(queue string, declared time.Duration) time.Duration {
	if m, ok := d.steps[queue]; ok && m.count >= learnedAfter {
		return m.mean
	}
	return d.expected(queue, declared)
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
		ends[i] = begin + d.step(sub.Queue, sub.Steps[i].Estimate)
		whole = max(whole, ends[i])
	}
	return whole
}

// learnedAfter is how many tasks or steps of a queue are needed before their mean
// is believed over the declared time.
const learnedAfter = 5
