package scheduler

import "time"

// Submission is a job as it was accepted. It never changes.
type Submission struct {
	ID          string
	Queue       string
	Service     string
	Spec        string
	Steps       []Step
	StartAt     time.Time     // when the first occurrence is due; zero: at once
	Repeat      int           // occurrences; below one: one
	Interval    time.Duration // between two occurrences
	Priority    int           // 0 comes first
	MaxFailures int           // failed runs of a task after which the job has failed; 0: no limit
	Stretch     float64       // objective: Stretch times the longest chain of work, and Objective more
	Objective   time.Duration
	AcceptedAt  time.Time
	Advice      *AdvicePolicy // nil: any worker of the service may run the steps
}

// Occurrences returns how often the steps run.
func (s *Submission) Occurrences() int { return max(s.Repeat, 1) }

// TaskCount returns the number of tasks of one occurrence.
func (s *Submission) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// DueAt returns when occurrence k may start; zero means at once.
func (s *Submission) DueAt(k int) time.Time {
	if s.StartAt.IsZero() {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(k) * s.Interval)
}

// LongRunning reports whether any step runs until the job is cancelled.
func (s *Submission) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
