package upkeep

// Plan returns the next steps. Emptying is requested for all machines at once;
// their pools decide when they can spare them.
func Plan(s *Snapshot) Steps {
	var steps Steps
	down := s.Progress.down()
	var ready []string // machines without running tasks
	for _, id := range s.Wave.Machines {
		machine, listed := s.Machines[id]
		switch {
		case s.Progress.Done[id]:
		case !listed || s.back(id, &machine):
			steps.Returned = append(steps.Returned, id)
			if _, ordered := s.Progress.Ordered[id]; ordered {
				down--
			}
		case s.Progress.Confirmed[id]:
		case s.Emptying[id] == Emptied || machine.Worker == "" && (machine.State == Up || machine.State == Off):
			ready = append(ready, id)
		}
	}
	steps.TakeDown = s.toTakeDown(ready, down)
	steps.Empty = s.toEmpty()
	steps.Completed = len(s.Progress.Done)+len(steps.Returned) >= len(s.Wave.Machines)
	return steps
}

// back reports whether a machine whose upkeep was confirmed has come through it.
func (s *Snapshot) back(id string, m *Machine) bool {
	if !s.Progress.Confirmed[id] {
		return false
	}
	if s.Progress.Ordered[id] == "" {
		return m.State != InUpkeep // it had no worker when its upkeep was ordered, and needs none now
	}
	return m.State == Up && m.Worker != s.Progress.Ordered[id]
}

// toTakeDown returns which of the ready machines to take down. Machines whose order
// was sent before and not confirmed come first; down already includes them.
func (s *Snapshot) toTakeDown(ready []string, down int) []string {
	var picked []string
	for _, id := range ready {
		if _, ordered := s.Progress.Ordered[id]; ordered {
			picked = append(picked, id)
		}
	}
	for _, id := range ready {
		if _, ordered := s.Progress.Ordered[id]; !ordered && down < s.maxDown() {
			picked = append(picked, id)
			down++
		}
	}
	return picked
}

// toEmpty returns the machines whose emptying has not been requested yet, or was requested
// of a pool or a worker that they have no longer. A machine that moves waits.
func (s *Snapshot) toEmpty() []string {
	var rest []string
	for _, id := range s.Wave.Machines {
		m, listed := s.Machines[id]
		if listed && m.State == Up && m.Worker != "" && !s.Progress.Done[id] && !s.Progress.Confirmed[id] && s.Emptying[id] == NotRequested {
			rest = append(rest, id)
		}
	}
	return rest
}

// maxDown returns how many machines may be down at once, at least 1.
func (s *Snapshot) maxDown() int { return max(s.Wave.MaxDown, 1) }
