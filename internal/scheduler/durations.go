package scheduler

import "time"

// durations holds the mean durations of tasks and steps, by queue. They replace the
// estimates of the submissions, which may be wrong by a factor of ten. The pool's lock
// guards it.
type durations struct {
	tasks map[string]*durationMean // of single tasks
	steps map[string]*durationMean // of the longest task of each step
}

func newDurations() *durations {
	return &durations{tasks: make(map[string]*durationMean), steps: make(map[string]*durationMean)}
}

// addTask adds the duration of a task of a queue.
func (d *durations) addTask(queue string, took time.Duration) { addTo(d.tasks, queue, took) }

// addStep adds the duration of the longest task of a step of a queue.
func (d *durations) addStep(queue string, took time.Duration) { addTo(d.steps, queue, took) }

func addTo(means map[string]*durationMean, queue string, took time.Duration) {
	m, ok := means[queue]
	if !ok {
		m = &durationMean{}
		means[queue] = m
	}
	m.add(took)
}

// of returns the mean durations of a queue. They are not kept: later ones may be added.
func (d *durations) of(queue string) queueDurations {
	return queueDurations{task: d.tasks[queue], step: d.steps[queue]}
}

// expectedTask returns how long a task of the queue takes: the mean, or estimate while
// the queue has fewer than minSamples.
func (d *durations) expectedTask(queue string, estimate time.Duration) time.Duration {
	return expected(d.tasks[queue], estimate)
}

// expectedStep returns how long a step of the queue takes. Its tasks run in parallel,
// so it takes as long as the longest of them.
func (d *durations) expectedStep(queue string, estimate time.Duration) time.Duration {
	q := d.of(queue)
	return q.expectedStep(estimate)
}

func expected(m *durationMean, estimate time.Duration) time.Duration {
	if m != nil && m.count >= minSamples {
		return m.mean
	}
	return estimate
}

// minSamples is the number of tasks or steps of a queue from which on their mean is
// used instead of the estimate.
const minSamples = 5
