package scheduler

import "time"

// occurrence is one time that a job's steps run. The pool's lock guards it.
type occurrence struct {
	due    time.Time
	stages []*stage
	left   int // stages that are not complete
}

// open reports whether the tasks of stage s may start, as far as other steps
// are concerned.
func (o *occurrence) open(s *stage) bool {
	for _, before := range s.step.After {
		if before >= 0 && before < len(o.stages) && o.stages[before].left > 0 {
			return false
		}
	}
	return true
}
