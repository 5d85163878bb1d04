package scheduler

import "time"

// Submission is a job as it was accepted. It is immutable.
type Submission struct {
	ID          string
	Queue       string
	Team        string // that it was accepted for; empty: none is known
	Service     string
	Spec        string
	Steps       []Step
	StartAt     time.Time     // when the first occurrence becomes due; zero: at once
	Repeat      int           // number of occurrences; below 1: one
	Interval    time.Duration // between the starts of two occurrences
	Priority    int           // 0 is the highest
	MaxFailures int           // failed runs of one task with which the job fails; 0: no limit
	Stretch     float64       // a job should take at most Stretch times its longest chain of steps, plus Objective
	Objective   time.Duration
	AcceptedAt  time.Time
	Advice      *AdvicePolicy // nil: any worker of the service may run the steps
}

// Occurrences returns the number of occurrences, at least 1.
func (s *Submission) Occurrences() int { return max(s.Repeat, 1) }

// TaskCount returns the number of tasks of one occurrence.
func (s *Submission) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// DueAt returns when occurrence k becomes due; the zero time means at once.
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

// Depth returns the number of steps in the longest chain of steps.
func (s *Submission) Depth() int {
	depths, longest := make([]int, len(s.Steps)), 0
	for i := range s.Steps {
		for _, before := range s.Steps[i].After {
			if before >= 0 && before < i {
				depths[i] = max(depths[i], depths[before])
			}
		}
		depths[i]++
		longest = max(longest, depths[i])
	}
	return longest
}
