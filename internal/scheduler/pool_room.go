package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// waitsForRoom records that the stage has a task that may start and that has room on no
// worker.
func (p *Pool) waitsForRoom(s *stage, now time.Time) {
	if s.noRoomSince.IsZero() {
		s.noRoomSince = now
	}
	p.waitingStages = append(p.waitingStages, s)
}

// findRoomNeeds returns what the tasks need that have waited for room for roomPatience.
// The sums of the load cannot show it: a pool can have enough free capacity, and none on
// a machine with the label or the size that a task needs.
func (p *Pool) findRoomNeeds(now time.Time) roomNeeds {
	needs := roomNeeds{held: make(map[*worker]bool)}
	waiting := p.longestWaiting(now)
	if len(waiting) == 0 {
		return needs
	}
	unit := p.machineCapacity()
	free := room{pool: p, free: make(map[*worker]Resources)}
	staying, offered := p.stayingAndOffered(now)
	for _, s := range waiting {
		hold := func(w *worker) { needs.held[w] = true }
		n := free.takeFrom(staying, s, s.tasksOwedRoom(now), hold)
		if n == 0 || s.step.Gang && s.step.machinesFor(s.step.Count, unit) > float64(max(p.ownMachines, len(p.workers))) {
			continue
		}
		n = free.takeFrom(offered, s, n, hold)
		if n == 0 {
			continue
		}
		needs.add(s.step, s.step.machinesFor(n, unit), s.step.Label == "" && s.step.reserved().Fits(unit))
	}
	return needs
}

// longestWaiting returns the stages that have waited for room for roomPatience, the first
// ones first, up to maxStagesForRoom.
func (p *Pool) longestWaiting(now time.Time) []*stage {
	var waiting []*stage
	for _, s := range p.waitingStages {
		if !s.job.progress.State.Final() && !s.noRoomSince.IsZero() && now.Sub(s.noRoomSince) >= roomPatience {
			waiting = append(waiting, s)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *stage) int { return a.noRoomSince.Compare(b.noRoomSince) })
	return waiting[:min(len(waiting), maxStagesForRoom)]
}

// stayingAndOffered returns the workers on which tasks may start, and those whose offers
// can be withdrawn so that tasks may start there, both in a fixed order. Those whose
// offers are not published come first, and those last that refused starts when they were
// tried.
func (p *Pool) stayingAndOffered(now time.Time) (staying, offered []*worker) {
	for _, w := range slices.SortedFunc(maps.Values(p.workers), compareIDs) {
		switch {
		case w.unknownRuns > 0 || now.Before(w.suspendedUntil):
		case w.inService():
			if !w.startsRefused.persist() {
				staying = append(staying, w)
			}
		case p.canTakeBack(w):
			offered = append(offered, w)
		}
	}
	slices.SortStableFunc(offered, func(a, b *worker) int {
		rank := func(w *worker) int {
			switch {
			case w.startsRefused.persist():
				return 2
			case p.publishedOffers[w.info.Machine]:
				return 1
			}
			return 0
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return staying, offered
}

// canTakeBack reports whether the worker's machine is offered, and the offer can be
// withdrawn so that tasks may start there.
func (p *Pool) canTakeBack(w *worker) bool {
	return w.offered && w.listed && !w.info.Draining && !w.emptying && !w.lost && w.fenced && w.reachable && !p.takenOffers[w.info.Machine] && p.toEmpty[w.info.Machine].IsZero()
}

// holdMachines ends the offers of workers that waiting tasks need and that are not
// published, and returns the machines whose published offers have to be withdrawn.
func (p *Pool) holdMachines(held map[*worker]bool) []string {
	var published []string
	for w := range held {
		if p.publishedOffers[w.info.Machine] {
			published = append(published, w.info.Machine)
		} else {
			w.offered = false
		}
	}
	slices.Sort(published)
	return published
}

const (
	// roomPatience is how long a task waits for room before the pool changes what it
	// offers and asks for: most runs of short tasks end in that time.
	roomPatience = 500 * time.Millisecond
	// maxStagesForRoom bounds the processor time of a report. In an overloaded pool many
	// stages wait, and the sums of the load show that the pool needs machines.
	maxStagesForRoom = 32
)
