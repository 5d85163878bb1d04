package upkeep

import "sort"

// Plan returns the next steps. Machines are emptied one bound ahead of those
// that are down, those of the pools with the fewest affected first.
func Plan(s *Snapshot) Steps {
	var steps Steps
	down := s.Progress.down()
	waiting := 0
	affected := make(map[string]int) // machines asked or down, by pool
	var open []string
	for _, id := range s.Wave.Machines {
		machine, listed := s.Machines[id]
		switch {
		case s.Progress.Done[id]:
			continue
		case !listed || s.back(id, &machine):
			steps.Back = append(steps.Back, id)
			if s.Progress.Ordered[id] != "" || s.Progress.Begun[id] {
				down--
			}
			continue
		case s.Progress.Begun[id]:
			affected[machine.Pool]++
		case s.Empty[id] == Emptied || machine.Worker == "" && machine.State == Up:
			open = append(open, id)
			affected[machine.Pool]++
		case s.Empty[id] == Asked:
			waiting++
			affected[machine.Pool]++
		}
	}
	steps.Order = s.orders(open, down)
	s.ask(&steps, affected, waiting+len(open)-len(steps.Order))
	steps.Completed = len(s.Progress.Done)+len(steps.Back) >= len(s.Wave.Machines)
	return steps
}

// back reports whether a machine whose upkeep has begun runs again.
func (s *Snapshot) back(id string, m *Machine) bool {
	if !s.Progress.Begun[id] {
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

// ask adds the machines to be emptied next.
func (s *Snapshot) ask(steps *Steps, affected map[string]int, waiting int) {
	var rest []string
	for _, id := range s.Wave.Machines {
		m, listed := s.Machines[id]
		if listed && m.State == Up && m.Worker != "" && !s.Progress.Done[id] && !s.Progress.Begun[id] && s.Empty[id] == NotAsked {
			rest = append(rest, id)
		}
	}
	for waiting < s.cap() && len(rest) > 0 {
		sort.SliceStable(rest, func(a, b int) bool {
			return affected[s.Machines[rest[a]].Pool] < affected[s.Machines[rest[b]].Pool]
		})
		steps.Ask = append(steps.Ask, rest[0])
		affected[s.Machines[rest[0]].Pool]++
		rest = rest[1:]
		waiting++
	}
}

func (s *Snapshot) cap() int { return max(s.Wave.Cap, 1) }
