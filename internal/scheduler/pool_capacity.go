package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CapacityReport decides how many more machines the pool could use at now, and which
// it can spare. Machines offered get no new tasks until Reclaim names them.
func (p *Pool) CapacityReport(now time.Time) CapacityReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.measure(now)
	p.updatePeaks(&l, now)
	b := CapacityReport{Load: l, ToGiveUp: p.toGiveUp}
	if p.formerWorkersAnswered {
		b.Need = p.machinesNeeded(&l, now)
		p.chooseOffers(&l, now)
	}
	for _, w := range p.workers {
		if w.offered && w.listed && w.idle() {
			b.Offers = append(b.Offers, w.info.Machine)
		}
	}
	slices.Sort(b.Offers)
	return b
}

// need returns how many more machines would be busy for long enough to be worth
// their move. What comes in counts, so that a rise is met by as many machines as
// it needs, not by as many as wait for at its beginning.
func (p *Pool) machinesNeeded(l *Load, now time.Time) int {
	missing := max(float64(l.Widest)-l.Usable, math.Floor(p.ownMachineCount()*ownReserveShare-l.Usable), math.Floor(p.arrivalShortfall(l, now)), 0)
	if l.Waiting > l.Usable-l.Used {
		free := max(l.Usable-l.Used, 0)
		byTasks := l.Waiting - free
		byWork := l.Backlog / minBusyTime.Seconds()
		missing = max(missing, min(byTasks, byWork))
	}
	if l.Usable < 1 && l.Waiting > 0 {
		missing = max(missing, 1)
	}
	return int(math.Ceil(max(missing, 0)))
}

// short returns how many more machines keep up with what comes in, and work off
// what piles up until they are there.
func (p *Pool) arrivalShortfall(l *Load, now time.Time) float64 {
	serving := l.Usable - l.LongRunning
	if l.Expected <= serving {
		p.shortSince = time.Time{}
		return 0
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	untilArrival := max(moveTime-now.Sub(p.shortSince), 0).Seconds()
	backlog := l.Backlog + (l.Expected-serving)*untilArrival
	return l.Expected - serving + backlog/backlogClearTime.Seconds()
}

// offer holds back the machines that the pool can do without, and those that it
// has to give up: idle ones, and besides the least used ones, where what runs
// ends first. Lasting tasks stay where they are.
func (p *Pool) chooseOffers(l *Load, now time.Time) {
	keep := max(p.loadPeak*peakHeadroom+1, p.ownMachineCount()*ownReserveShare, float64(l.Widest)+1, l.Expected+l.LongRunning)
	idleOffered := 0
	var busyOffered, busy []*worker
	for _, w := range p.workers {
		switch {
		case p.finishingForOffer(w):
			busyOffered = append(busyOffered, w)
		case w.offered && w.listed && !w.lost:
			idleOffered++
		case w.inService() && len(w.runs) > 0 && w.info.Machine != "" && p.toEmpty[w.info.Machine].IsZero():
			busy = append(busy, w)
		}
	}
	vacateCount := max(int(math.Floor(l.Usable-keep)), p.toGiveUp-idleOffered, 0)
	slices.SortFunc(busyOffered, compareUsed)
	chosen := append(p.idleWorkers(now), busyOffered...)
	if len(chosen) < vacateCount {
		slices.SortFunc(busy, compareUsed)
		busy = slices.DeleteFunc(busy, (*worker).hasLongRunning)
		chosen = append(chosen, busy...)
	}
	for i, w := range chosen {
		w.offered = i < vacateCount
	}
}

// givenUp reports whether the worker only ends what runs there, for its machine
// to be offered then. One that is offered already may be taken at any time.
func (p *Pool) finishingForOffer(w *worker) bool {
	return w.offered && w.listed && !w.lost && len(w.runs) > 0 && !p.publishedOffers[w.info.Machine]
}

func compareUsed(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.used.MilliCPU, b.used.MilliCPU), compareIDs(a, b))
}

// own returns how many machines are the pool's own: as the fleet says, or as it
// has now while nothing is said.
func (p *Pool) ownMachineCount() float64 {
	if p.ownMachines > 0 {
		return float64(p.ownMachines)
	}
	return p.longLoadPeak
}

// SetShare tells how many machines are the pool's own, 0 if that is not known,
// and how many it has to give up.
func (p *Pool) SetShare(ownMachines, toGiveUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownMachines, p.toGiveUp = ownMachines, toGiveUp
}

// idleWorkers returns the workers that could be offered at now, by ID.
func (p *Pool) idleWorkers(now time.Time) []*worker {
	var idle []*worker
	for _, w := range p.workers {
		if w.inService() && w.info.Machine != "" && len(w.runs) == 0 && p.toEmpty[w.info.Machine].IsZero() && now.Sub(w.listedAt) > minStayAfterArrival {
			idle = append(idle, w)
		}
	}
	slices.SortFunc(idle, compareIDs)
	return idle
}

// WithdrawOffer takes in that an offered machine was not taken and stays.
func (p *Pool) WithdrawOffer(machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.info.Machine == machine {
			w.offered = false
		}
	}
	delete(p.publishedOffers, machine)
}

// SetOffered takes in which machines are offered, by this owner or an earlier one:
// they may be taken at any time, so nothing starts on any incarnation of theirs.
func (p *Pool) SetOffered(machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range machines {
		p.publishedOffers[m] = true
	}
	for _, w := range p.workers {
		w.offered = w.offered || p.publishedOffers[w.info.Machine]
	}
}

const (
	// headroom is the room kept above the recent peak, for what comes while
	// another machine would be on its way.
	peakHeadroom = 1.25
	// reserve is the part of its own machines that stays in the pool: it carries
	// the next burst until more arrive.
	ownReserveShare = 0.35
	// worthwhile is how long a machine should be busy for its move to pay: a
	// move costs the users about a second of a machine.
	minBusyTime = time.Second
	// moveTime is how long a machine takes to a pool that asks for it: the users'
	// bound of a move, and what it takes to ask and to be seen.
	moveTime = 1800 * time.Millisecond
	// workOff is the time in which what has piled up should be worked off: half
	// of what short jobs may wait.
	backlogClearTime = time.Second
	// freshFor is how long a machine stays after its arrival.
	minStayAfterArrival = 2 * time.Second
)
