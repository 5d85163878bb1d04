package scheduler

import "time"

// Bounds of a job. They lie far above what a pool can run, and far below what
// memory and the arithmetic of times bear.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 1000
	// MaxStepTasks bounds the tasks of a step.
	MaxStepTasks = 100_000
	// MaxJobTasks bounds the tasks of all occurrences of a job: each takes a bit of
	// what is kept of it, and memory from the time it is due.
	MaxJobTasks = 4 << 20
	// maxNeed bounds what one task needs of a kind.
	maxNeed = 1 << 40
	// maxEstimate bounds how long one task is said to take.
	maxEstimate = 30 * 24 * time.Hour
	// maxSpan bounds the other times of a job, from its first occurrence to its
	// last too.
	maxSpan = 20 * 365 * 24 * time.Hour
	// maxStretch bounds how many times its work a job may take.
	maxStretch = 1e6
)

// InvalidField returns the first field whose value no pool can work with, or
// nothing.
func (s *Submission) InvalidField() string {
	switch {
	case len(s.Steps) < 1 || len(s.Steps) > MaxSteps:
		return "steps"
	case !(s.Stretch >= 0 && s.Stretch <= maxStretch): // nor is it a number otherwise
		return "stretch"
	case !spans(s.Objective):
		return "objective"
	case !spans(s.Interval) || s.Interval > 0 && s.Occurrences() > int(maxSpan/s.Interval):
		return "interval"
	}
	for i := range s.Steps {
		if field := s.Steps[i].invalidField(i); field != "" {
			return field
		}
	}
	if s.Occurrences() > MaxJobTasks/s.TaskCount() {
		return "count of all tasks"
	}
	return ""
}

// invalidField does the same for the step with the given number.
func (s *Step) invalidField(index int) string {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return "after"
		}
	}
	switch {
	case s.Count < 1 || s.Count > MaxStepTasks:
		return "count"
	case !s.Need.within(maxNeed):
		return "need"
	case s.Estimate < 0 || s.Estimate > maxEstimate:
		return "estimate"
	case s.MaxPerWorker < 0:
		return "tasks on one worker"
	case !spans(s.Target):
		return "target"
	}
	return ""
}

func spans(d time.Duration) bool { return d >= 0 && d <= maxSpan }

func (r Resources) within(most int) bool {
	return min(r.MilliCPU, r.MemoryMB, r.Accelerators) >= 0 && max(r.MilliCPU, r.MemoryMB, r.Accelerators) <= most
}
