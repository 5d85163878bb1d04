package scheduler

import "time"

// Bounds of a job. They lie far above what a pool can run, and far below the amounts
// that would exhaust memory or overflow the arithmetic of times.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 1000
	// MaxStepTasks bounds the tasks of a step.
	MaxStepTasks = 100_000
	// MaxJobTasks bounds the tasks of all occurrences of a job: each takes one bit of
	// the saved progress, and memory from the time it becomes due.
	MaxJobTasks = 4 << 20
	// maxNeed bounds the amount of each resource that one task needs.
	maxNeed = 1 << 40
	// maxEstimate bounds the estimated duration of one task.
	maxEstimate = 30 * 24 * time.Hour
	// maxSpan bounds the other durations of a job, among them the time from its first
	// occurrence to its last.
	maxSpan = 20 * 365 * 24 * time.Hour
	// maxStretch bounds Submission.Stretch.
	maxStretch = 1e6
)

// InvalidField returns the name of the first field whose value is out of bounds, or
// the empty string if all are valid.
func (s *Submission) InvalidField() string {
	switch {
	case len(s.Steps) < 1 || len(s.Steps) > MaxSteps:
		return "steps"
	case !(s.Stretch >= 0 && s.Stretch <= maxStretch): // written so that NaN is invalid too
		return "stretch"
	case !validSpan(s.Objective):
		return "objective"
	case !validSpan(s.Interval) || s.Interval > 0 && s.Occurrences() > int(maxSpan/s.Interval):
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

// invalidField does the same for the step with the given index.
func (s *Step) invalidField(index int) string {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return "after"
		}
	}
	switch {
	case s.Count < 1 || s.Count > MaxStepTasks:
		return "count"
	case !s.Need.withinBounds(maxNeed):
		return "need"
	case s.Estimate < 0 || s.Estimate > maxEstimate:
		return "estimate"
	case s.MaxPerWorker < 0:
		return "tasks on one worker"
	case !validSpan(s.Target):
		return "target"
	}
	return ""
}

func validSpan(d time.Duration) bool { return d >= 0 && d <= maxSpan }

func (r Resources) withinBounds(limit int) bool {
	return min(r.MilliCPU, r.MemoryMB, r.Accelerators) >= 0 && max(r.MilliCPU, r.MemoryMB, r.Accelerators) <= limit
}
