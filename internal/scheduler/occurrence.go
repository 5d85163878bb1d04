package scheduler

import "time"

// occurrence is one repetition of a job: all steps run once. The pool's lock guards it.
type occurrence struct {
	due              time.Time
	stages           []*stage
	incompleteStages int // stages of which some task is not done
}

// stageReady reports whether all steps that have to precede stage s are complete.
func (o *occurrence) stageReady(s *stage) bool {
	for _, before := range s.step.After {
		if before >= 0 && before < len(o.stages) && o.stages[before].incomplete > 0 {
			return false
		}
	}
	return true
}
