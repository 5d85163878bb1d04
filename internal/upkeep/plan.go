package upkeep

// Plan returns the next steps. All machines are asked for at once: their pools
// decide when they can spare them.
func Plan(s *Snapshot) Steps {
	var steps Steps
	down := s.Progress.down()
	var open []string
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
			open = append(open, id)
		}
	}
	steps.TakeDown = s.orders(open, down)
	steps.Empty = s.toEmpty()
	steps.Completed = len(s.Progress.Done)+len(steps.Returned) >= len(s.Wave.Machines)
	return steps
}

// back reports whether a machine whose upkeep has begun runs again.
func (s *Snapshot) back(id string, m *Machine) bool {
	if !s.Progress.Confirmed[id] {
		return false
	}
	if s.Progress.Ordered[id] == "" {
		return m.State != InUpkeep // it is off as before
	}
	return m.State == Up && m.Worker != s.Progress.Ordered[id]
}

// orders picks the machines to take down. Those ordered before, whose order was
// not confirmed, come first and count as down already.
func (s *Snapshot) orders(open []string, down int) []string {
	var picked []string
	for _, id := range open {
		if _, ordered := s.Progress.Ordered[id]; ordered {
			picked = append(picked, id)
		}
	}
	for _, id := range open {
		if _, ordered := s.Progress.Ordered[id]; !ordered && down < s.cap() {
			picked = append(picked, id)
			down++
		}
	}
	return picked
}

// toEmpty returns the machines that their pools have not been requested to empty.
func (s *Snapshot) toEmpty() []string {
	var rest []string
	for _, id := range s.Wave.Machines {
		m, listed := s.Machines[id]
		if listed && m.Worker != "" && !s.Progress.Done[id] && !s.Progress.Confirmed[id] && s.Emptying[id] == NotRequested {
			rest = append(rest, id)
		}
	}
	return rest
}

func (s *Snapshot) cap() int { return max(s.Wave.MaxDown, 1) }
