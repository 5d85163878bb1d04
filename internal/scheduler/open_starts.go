package scheduler

import (
	"slices"
	"time"
)

// openStarts holds the open starts of each task.
type openStarts map[TaskID][]openStart

// add records an open start of a task.
func (o openStarts) add(id TaskID, s openStart) { o[id] = append(o[id], s) }

// until returns by when all open starts of a task have been carried out, or never will be;
// zero: it has none.
func (o openStarts) until(id TaskID) time.Time {
	var until time.Time
	for i := range o[id] {
		until = Later(until, o[id][i].until)
	}
	return until
}

// attemptNotRun reports whether an open start has this attempt and no incarnation is known
// to have run it. A worker runs each attempt once, however many starts name it.
func (o openStarts) attemptNotRun(id TaskID, attempt int) bool {
	return slices.ContainsFunc(o[id], func(s openStart) bool { return s.attempt == attempt })
}

// extend records until when the open start with the given token may be carried out, and
// reports whether there is one.
func (o openStarts) extend(id TaskID, worker string, token int64, until time.Time) bool {
	found := false
	for i := range o[id] {
		if s := &o[id][i]; s.worker == worker && s.token == token {
			s.until, found = Later(s.until, until), true
		}
	}
	return found
}

// workerRemoved records until when late polls may extend leases at a worker that the pool
// knows no longer.
func (o openStarts) workerRemoved(worker string, leaseUntil time.Time) {
	for _, list := range o {
		for i := range list {
			if list[i].worker == worker {
				list[i].leaseUntil = leaseUntil
			}
		}
	}
}

// untilOn returns the same for the open starts at a worker.
func (o openStarts) untilOn(worker string) time.Time {
	var until time.Time
	for _, list := range o {
		for i := range list {
			if list[i].worker == worker {
				until = Later(until, list[i].until)
			}
		}
	}
	return until
}

// allow reports whether the task may start on w: no other worker may start it as well, and
// the present incarnation of w, by its last reply, has not done so.
func (o openStarts) allow(id TaskID, w *worker) bool {
	for i := range o[id] {
		if s := &o[id][i]; s.worker != w.info.ID || s.token >= w.seenToken {
			return false
		}
	}
	return true
}

// closeOver removes the open starts that are over, and calls closed for each.
func (o openStarts) closeOver(over func(s *openStart) bool, closed func(s *openStart)) {
	for id, list := range o {
		list = slices.DeleteFunc(list, func(s openStart) bool {
			if !over(&s) {
				return false
			}
			closed(&s)
			return true
		})
		if len(list) == 0 {
			delete(o, id)
		} else {
			o[id] = list
		}
	}
}
