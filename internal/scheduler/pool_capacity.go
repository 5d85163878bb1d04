package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// CapacityReport decides how many more machines the pool could use at now, and which
// it can spare. No task starts on a machine in Offers until WithdrawOffer names it.
func (p *Pool) CapacityReport(now time.Time) CapacityReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.measure(now)
	p.updatePeaks(&l, now)
	report := CapacityReport{Load: l, ToGiveUp: p.toGiveUp}
	if !p.formerAnsweredAt.IsZero() {
		needs := p.findRoomNeeds(now)
		report.Need = p.machinesNeeded(&l, now)
		if report.Need == 0 {
			report.Need = int(math.Ceil(needs.machines))
		}
		report.Kinds = needs.kindNeeds()
		report.TakeBack = p.holdMachines(needs.held)
		p.chooseOffers(&l, needs.held, now)
	}
	p.machinesAsked = report.Need
	for _, w := range p.workers {
		if w.offered && w.listed && w.idle() {
			report.Offers = append(report.Offers, w.info.Machine)
		}
	}
	slices.Sort(report.Offers)
	return report
}

// machinesNeeded returns how many more machines would be busy for long enough to be
// worth their move. Arriving work counts too, so that a rise is met with as many
// machines as it needs, not with as many as its first waiting tasks need.
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

// arrivalShortfall returns how many more machines are needed to keep up with arriving
// work, and to work off the backlog that grows until those machines are there.
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

// chooseOffers marks the machines that the pool can spare or has to give up as offered,
// so that no task starts there. It chooses idle machines first, then the least used
// ones, since these become idle soonest; a machine is in the report once it is idle.
// Until then, a later call may choose others. Machines with long-running tasks are not
// chosen, nor are held ones.
func (p *Pool) chooseOffers(l *Load, held map[*worker]bool, now time.Time) {
	toKeep := max(p.loadPeak*peakHeadroom+1, p.ownMachineCount()*ownReserveShare, float64(l.Widest)+1, l.Expected+l.LongRunning)
	idleOffered := 0
	var busyOffered, busy []*worker
	for _, w := range p.workers {
		switch {
		case held[w]:
		case p.finishingForOffer(w):
			busyOffered = append(busyOffered, w)
		case w.offered && w.listed && !w.lost:
			idleOffered++
		case w.inService() && len(w.runs) > 0 && w.info.Machine != "" && p.toEmpty[w.info.Machine].IsZero():
			busy = append(busy, w)
		}
	}
	vacateCount := max(int(math.Floor(l.Usable-toKeep)), p.toGiveUp-idleOffered, 0)
	slices.SortFunc(busyOffered, compareUsed)
	idle := slices.DeleteFunc(p.idleWorkers(now), func(w *worker) bool { return held[w] })
	chosen := append(idle, busyOffered...)
	if len(chosen) < vacateCount {
		slices.SortFunc(busy, compareUsed)
		busy = slices.DeleteFunc(busy, (*worker).hasLongRunning)
		chosen = append(chosen, busy...)
	}
	for i, w := range chosen {
		w.offered = i < vacateCount
	}
}

// finishingForOffer reports whether the worker finishes its runs and its machine is
// offered after that. A machine whose offer is published may be taken at any time and
// does not count.
func (p *Pool) finishingForOffer(w *worker) bool {
	return w.offered && w.listed && !w.lost && len(w.runs) > 0 && !p.publishedOffers[w.info.Machine]
}

func compareUsed(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.used.MilliCPU, b.used.MilliCPU), compareIDs(a, b))
}

// ownMachineCount returns how many machines belong to the pool: the number that
// SetShare gave, or the recent peak of the load if that is not known.
func (p *Pool) ownMachineCount() float64 {
	if p.ownMachines > 0 {
		return float64(p.ownMachines)
	}
	return p.longLoadPeak
}

// SetShare sets how many machines belong to the pool, 0 if that is not known, and how
// many it has to give up.
func (p *Pool) SetShare(ownMachines, toGiveUp int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownMachines, p.toGiveUp = ownMachines, toGiveUp
}

// idleWorkers returns the workers without runs whose machines could be offered at now,
// in the order of their IDs.
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

// WithdrawOffer records that an offered machine was not taken and stays in the pool.
func (p *Pool) WithdrawOffer(machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.info.Machine == machine {
			w.offered = false
		}
	}
	delete(p.publishedOffers, machine)
	delete(p.takenOffers, machine)
}

// OfferTaken records that an offered machine was taken: it leaves the pool, and its offer
// cannot be withdrawn.
func (p *Pool) OfferTaken(machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takenOffers[machine] = true
}

// SetOffered adds machines whose offers are published, by this owner or a former one.
// They may be taken at any time, so no task starts there, whichever worker runs on them.
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
	// peakHeadroom is the factor by which capacity stays above the recent peak, for work
	// that arrives while another machine would be in transit.
	peakHeadroom = 1.25
	// ownReserveShare is the share of its own machines that stays in the pool: they
	// serve the next burst until more machines arrive.
	ownReserveShare = 0.35
	// minBusyTime is how long a machine should be busy to be worth its move: a move
	// costs the users about one second of machine time.
	minBusyTime = time.Second
	// moveTime is how long it takes until a requested machine serves the pool: the
	// users' bound on a move, plus the time until the request is read and the machine's
	// worker is listed.
	moveTime = 1800 * time.Millisecond
	// backlogClearTime is the time in which the backlog should be worked off: half of
	// the time that short jobs may wait.
	backlogClearTime = time.Second
	// minStayAfterArrival is how long a machine is not offered after its arrival.
	minStayAfterArrival = 2 * time.Second
)
