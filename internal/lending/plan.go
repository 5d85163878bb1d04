package lending

import (
	"cmp"
	"maps"
	"slices"

	"persimmonbay/internal/upkeep"
)

// Plan returns the moves to order now, and how many machines each pool has to give
// up. Machines go first to the pools that need them and lack most of their own
// number (OwnMachines), then to the pools that have the fewest in proportion to it.
// Offered machines that no pool needs go on standby, where they cost nothing. A
// pool with more machines than its own number gives them up if another one lacks
// some of its own. Before all that, pools get the machines of certain kinds that they
// need, as far as these are offered or on standby.
func Plan(s *Snapshot) Steps {
	p := newPlanState(s)
	steps := Steps{Recalls: make(map[string]int)}
	steps.Moves = p.takeKinds()
	for {
		pool := p.nextInNeed()
		if pool == "" {
			break
		}
		move, found := p.takeFor(pool)
		if !found {
			p.recall(pool, steps.Recalls)
			continue
		}
		steps.Moves = append(steps.Moves, move)
	}
	if standby := s.standbyPool(); standby != "" {
		for _, m := range p.offered {
			steps.Moves = append(steps.Moves, Move{Machine: m, Target: standby})
		}
	}
	return steps
}

// offeredMachines returns the IDs, sorted, of machines that are offered, not taken
// and usable.
func (s *Snapshot) offeredMachines() []string {
	var ids []string
	for id, offer := range s.Offers {
		m, listed := s.Machines[id]
		if offer.Target == "" && listed && m.State == upkeep.Up && m.Pool == offer.Pool && !s.UpkeepPending[id] && !s.RecentlyOrdered[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// standbyMachines returns the IDs of usable machines on standby, sorted, with those
// that still need their upkeep in a wave last.
func (s *Snapshot) standbyMachines() []string {
	var ids []string
	for id, m := range s.Machines {
		_, claimed := s.Offers[id]
		if s.Standby[m.Pool] && m.State == upkeep.Up && s.InTransit[id] == "" && !claimed && !s.UpkeepPending[id] && !s.RecentlyOrdered[id] {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		switch {
		case s.UpkeepDeferrable[a] == s.UpkeepDeferrable[b]:
			return cmp.Compare(a, b)
		case s.UpkeepDeferrable[a]:
			return 1
		}
		return -1
	})
	return ids
}

// standbyPool returns the first standby pool by name, or "" if there is none.
func (s *Snapshot) standbyPool() string {
	for _, n := range slices.Sorted(maps.Keys(s.Standby)) {
		if s.Standby[n] {
			return n
		}
	}
	return ""
}

// takeFrom removes and returns the first machine that fits, or "" if none does.
func takeFrom(ids *[]string, fits func(string) bool) string {
	i := slices.IndexFunc(*ids, fits)
	if i < 0 {
		return ""
	}
	id := (*ids)[i]
	*ids = slices.Delete(*ids, i, i+1)
	return id
}
