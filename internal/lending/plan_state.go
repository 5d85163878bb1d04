package lending

import (
	"cmp"
	"maps"
	"slices"

	"persimmonbay/internal/upkeep"
)

// planState tracks machines and needs while moves are planned.
type planState struct {
	s       *Snapshot
	have    map[string]int // usable machines in each pool or in transit to it
	unmet   map[string]int // by pool: machines needed and not yet planned
	offered []string       // machines that pools offer, still to be taken
	standby []string       // usable machines on standby, still to be taken
}

// newPlanState returns the state before any move of a plan.
func newPlanState(s *Snapshot) *planState {
	p := &planState{s: s, have: make(map[string]int), unmet: maps.Clone(s.Needs), offered: s.offeredMachines(), standby: s.standbyMachines()}
	for id, m := range s.Machines {
		_, offered := s.Offers[id]
		if s.InTransit[id] == "" && !offered && m.State == upkeep.Up {
			p.have[m.Pool]++
		}
	}
	for _, pool := range s.InTransit {
		p.have[pool]++
		p.unmet[pool]--
	}
	return p
}

// lacks returns how many machines the pool needs within its own number (OwnMachines)
// and does not have.
func (p *planState) lacks(pool string) int {
	return min(p.unmet[pool], p.s.OwnMachines[pool]-p.have[pool])
}

// nextInNeed returns the pool that gets the next machine, or "" if none needs one.
func (p *planState) nextInNeed() string {
	best := ""
	for _, pool := range slices.Sorted(maps.Keys(p.unmet)) {
		if p.unmet[pool] > 0 && (best == "" || p.before(pool, best)) {
			best = pool
		}
	}
	return best
}

// before reports whether pool gets a machine before other: it lacks more of its
// own, or as many and has fewer machines in proportion to its own number.
func (p *planState) before(pool, other string) bool {
	own, others := max(p.lacks(pool), 0), max(p.lacks(other), 0)
	if own != others {
		return own > others
	}
	ratio := func(name string) float64 { return float64(p.have[name]) / float64(max(p.s.OwnMachines[name], 1)) }
	return cmp.Less(ratio(pool), ratio(other))
}

// takeFor plans the move of a machine to pool: one that another pool offers, or
// else one on standby. It returns false if there is none.
func (p *planState) takeFor(pool string) (Move, bool) {
	machine := takeFrom(&p.offered, func(m string) bool { return p.s.Offers[m].Pool != pool })
	if machine == "" {
		machine = takeFrom(&p.standby, func(string) bool { return true })
	}
	if machine == "" {
		return Move{}, false
	}
	p.unmet[pool]--
	p.have[pool]++
	return Move{Machine: machine, Target: pool}, true
}

// recall adds recalls for the machines that pool lacks, each from the pool with the
// largest surplus, and removes the pool from those in need.
func (p *planState) recall(pool string, recalls map[string]int) {
	lacks := p.lacks(pool)
	delete(p.unmet, pool)
	for ; lacks > 0; lacks-- {
		richest := ""
		for _, other := range slices.Sorted(maps.Keys(p.have)) {
			if other != pool && p.surplus(other, recalls) > 0 && (richest == "" || p.surplus(other, recalls) > p.surplus(richest, recalls)) {
				richest = other
			}
		}
		if richest == "" {
			return
		}
		recalls[richest]++
	}
}

// surplus returns how many machines a pool has above its own number (Home), not
// counting those already recalled from it; 0 for a standby pool.
func (p *planState) surplus(pool string, recalls map[string]int) int {
	if p.s.Standby[pool] {
		return 0
	}
	return p.have[pool] - p.s.OwnMachines[pool] - recalls[pool]
}

// takeKinds plans the moves of machines of the kinds that pools need. Machines in transit
// to a pool count first.
func (p *planState) takeKinds() []Move {
	var moves []Move
	for _, pool := range slices.Sorted(maps.Keys(p.s.Kinds)) {
		inTransit := p.machinesInTransit(pool)
		for _, need := range p.s.Kinds[pool] {
			suits := func(id string) bool { return need.Suits(p.s.Machines[id].Labels, p.s.Machines[id].Capacity) }
			for range need.Count {
				if takeFrom(&inTransit, suits) != "" {
					continue
				}
				machine := takeFrom(&p.offered, func(id string) bool { return p.s.Offers[id].Pool != pool && suits(id) })
				if machine == "" {
					machine = takeFrom(&p.standby, suits)
				}
				if machine == "" {
					break
				}
				p.have[pool]++
				moves = append(moves, Move{Machine: machine, Target: pool})
			}
		}
	}
	return moves
}

// machinesInTransit returns the IDs, sorted, of the machines in transit to the pool.
func (p *planState) machinesInTransit(pool string) []string {
	var ids []string
	for id, target := range p.s.InTransit {
		if target == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
