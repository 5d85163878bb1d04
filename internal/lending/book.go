package lending

import (
	"cmp"
	"maps"
	"slices"

	"persimmonbay/internal/upkeep"
)

// book keeps account of machines while moves are planned.
type book struct {
	s       *Snapshot
	have    map[string]int // machines in each pool, or on their way to it
	left    map[string]int // needs that are not met
	offered []string
	standby []string
}

func newBook(s *Snapshot) *book {
	b := &book{s: s, have: make(map[string]int), left: maps.Clone(s.Needs), offered: s.offeredMachines(), standby: s.standbyMachines()}
	for id, m := range s.Machines {
		_, offered := s.Offers[id]
		if s.InTransit[id] == "" && !offered && m.State == upkeep.Up {
			b.have[m.Pool]++
		}
	}
	for _, pool := range s.InTransit {
		b.have[pool]++
		b.left[pool]--
	}
	return b
}

// lacks returns how many of its own machines the pool needs and does not have.
func (b *book) lacks(pool string) int { return min(b.left[pool], b.s.Home[pool]-b.have[pool]) }

// nextInNeed returns the pool that gets the next machine, or nothing.
func (b *book) nextInNeed() string {
	best := ""
	for _, pool := range slices.Sorted(maps.Keys(b.left)) {
		if b.left[pool] > 0 && (best == "" || b.before(pool, best)) {
			best = pool
		}
	}
	return best
}

func (b *book) before(pool, other string) bool {
	own, others := max(b.lacks(pool), 0), max(b.lacks(other), 0)
	if own != others {
		return own > others
	}
	part := func(p string) float64 { return float64(b.have[p]) / float64(max(b.s.Home[p], 1)) }
	return cmp.Less(part(pool), part(other))
}

// takeFor takes a machine for pool: one that another pool offers, or one on
// standby.
func (b *book) takeFor(pool string) (Move, bool) {
	machine := takeFrom(&b.offered, func(m string) bool { return b.s.Offers[m].Pool != pool })
	if machine == "" {
		machine = takeFrom(&b.standby, func(string) bool { return true })
	}
	if machine == "" {
		return Move{}, false
	}
	b.left[pool]--
	b.have[pool]++
	return Move{Machine: machine, Target: pool}, true
}

// recall asks the pools that have more than their own for what pool lacks, and
// closes its need.
func (b *book) recall(pool string, recalls map[string]int) {
	lacks := b.lacks(pool)
	delete(b.left, pool)
	for ; lacks > 0; lacks-- {
		richest := ""
		for _, p := range slices.Sorted(maps.Keys(b.have)) {
			if p != pool && b.surplus(p, recalls) > 0 && (richest == "" || b.surplus(p, recalls) > b.surplus(richest, recalls)) {
				richest = p
			}
		}
		if richest == "" {
			return
		}
		recalls[richest]++
	}
}

// surplus returns how many machines more than its own a pool keeps.
func (b *book) surplus(pool string, recalls map[string]int) int {
	if b.s.Standby[pool] {
		return 0
	}
	return b.have[pool] - b.s.Home[pool] - recalls[pool]
}
