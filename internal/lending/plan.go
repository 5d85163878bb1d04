package lending

import (
	"maps"
	"slices"

	"persimmonbay/internal/upkeep"
)

// Plan returns the moves to order now: machines go where they are needed, first
// those that other pools offer; what nobody needs goes on standby, where it
// costs nothing.
func Plan(s *Snapshot) []Move {
	left := s.open()
	offered, standby := s.offered(), s.onStandby()
	var moves []Move
	for {
		pool := mostInNeed(left)
		if pool == "" {
			break
		}
		left[pool]--
		machine := takeFrom(&offered, func(m string) bool { return s.Offers[m].Pool != pool })
		isOffered := machine != ""
		if machine == "" {
			machine = takeFrom(&standby, func(string) bool { return true })
		}
		if machine == "" {
			delete(left, pool)
			continue
		}
		moves = append(moves, Move{Machine: machine, Target: pool, Offered: isOffered})
	}
	if park := s.parking(); park != "" {
		for _, m := range offered {
			moves = append(moves, Move{Machine: m, Target: park, Offered: true})
		}
	}
	return moves
}

// open returns the needs that no machine on its way will meet.
func (s *Snapshot) open() map[string]int {
	left := maps.Clone(s.Needs)
	for _, pool := range s.OnTheWay {
		left[pool]--
	}
	return left
}

// offered returns the machines that were offered and not taken, in order.
func (s *Snapshot) offered() []string {
	var ids []string
	for id, offer := range s.Offers {
		m, listed := s.Machines[id]
		if offer.Target == "" && listed && m.State == upkeep.Up && m.Pool == offer.Pool && !s.Asked[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// onStandby returns the machines on standby that can be used, in order.
func (s *Snapshot) onStandby() []string {
	var ids []string
	for id, m := range s.Machines {
		if s.Standby[m.Pool] && (m.State == upkeep.Up || m.State == upkeep.Off) && s.OnTheWay[id] == "" && !s.Asked[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// parking returns the first standby pool by name, or nothing.
func (s *Snapshot) parking() string {
	names := slices.Sorted(maps.Keys(s.Standby))
	for _, n := range names {
		if s.Standby[n] {
			return n
		}
	}
	return ""
}

// mostInNeed returns the pool with the largest need, or nothing.
func mostInNeed(left map[string]int) string {
	best := ""
	for _, pool := range slices.Sorted(maps.Keys(left)) {
		if left[pool] > 0 && (best == "" || left[pool] > left[best]) {
			best = pool
		}
	}
	return best
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
