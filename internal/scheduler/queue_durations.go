package scheduler

import "time"

// queueDurations holds the mean durations of one queue; nil: none is known yet.
type queueDurations struct {
	task *durationMean // of a single task
	step *durationMean // of the longest task of a step
}

// expectedTask returns how long a task takes, as durations does.
func (q *queueDurations) expectedTask(estimate time.Duration) time.Duration {
	return expected(q.task, estimate)
}

// expectedStep returns how long a step takes, as durations does.
func (q *queueDurations) expectedStep(estimate time.Duration) time.Duration {
	return expected(q.step, expected(q.task, estimate))
}

// longestChain returns the expected duration of the longest chain of a job's steps. It keeps
// the ends of the steps in ends.
func (q *queueDurations) longestChain(sub *Submission, ends *[]time.Duration) time.Duration {
	var whole time.Duration
	*ends = (*ends)[:0]
	for i := range sub.Steps {
		var end time.Duration
		for _, before := range sub.Steps[i].After {
			if before >= 0 && before < i {
				end = max(end, (*ends)[before])
			}
		}
		end += q.expectedStep(sub.Steps[i].Estimate)
		*ends = append(*ends, end)
		whole = max(whole, end)
	}
	return whole
}
