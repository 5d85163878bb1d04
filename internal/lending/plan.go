package lending

import (
	"cmp"
	"maps"
	"slices"

	"persimmonbay/internal/upkeep"
)

// Plan returns the moves to order now, and how many machines each pool has to
// give up. Machines go first to pools that have fewer than their own and need
// them, then to the pools that have the fewest for their size. What nobody needs
// goes on standby, where it costs nothing. A pool that has more than its own
// gives them up when another lacks some of its own.
func Plan(s *Snapshot) Steps {
	b := newBook(s)
	steps := Steps{Recalls: make(map[string]int)}
	for {
		pool := b.nextInNeed()
		if pool == "" {
			break
		}
		move, found := b.takeFor(pool)
		if !found {
			b.recall(pool, steps.Recalls)
			continue
		}
		steps.Moves = append(steps.Moves, move)
	}
	if park := s.parking(); park != "" {
		for _, m := range b.offered {
			steps.Moves = append(steps.Moves, Move{Machine: m, Target: park})
		}
	}
	return steps
}

// offeredMachines returns the machines that were offered and not taken, in
// order.
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

// standbyMachines returns the machines on standby that can be used, in order;
// those that are due for upkeep last.
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

// parking returns the first standby pool by name, or nothing.
func (s *Snapshot) parking() string {
	for _, n := range slices.Sorted(maps.Keys(s.Standby)) {
		if s.Standby[n] {
			return n
		}
	}
	return ""
}

// takeFrom removes and returns the first machine that fits, or nothing.
func takeFrom(ids *[]string, fits func(string) bool) string {
	i := slices.IndexFunc(*ids, fits)
	if i < 0 {
		return ""
	}
	id := (*ids)[i]
	*ids = slices.Delete(*ids, i, i+1)
	return id
}
