package scheduler

import "time"

// roomHold keeps workers free for one stage: no task of another stage starts there. A gang
// or a large task needs its room at one time, and smaller tasks would take each part of it
// as it becomes free.
type roomHold struct {
	stage   *stage // nil: none
	workers map[*worker]bool
}

// keeps reports whether tasks of s may not start on w.
func (h *roomHold) keeps(s *stage, w *worker) bool {
	return h.stage != nil && h.stage != s && h.workers[w]
}

// stands reports whether the hold is still needed and possible at now.
func (h *roomHold) stands(now time.Time) bool {
	if h.stage == nil || h.stage.noRoomSince.IsZero() || h.stage.job.progress.State.Final() || h.stage.waitingTasks(now) == 0 {
		return false
	}
	for w := range h.workers {
		if !w.usable(now) {
			return false
		}
	}
	return true
}
