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
	p.follow(&l, now)
	b := CapacityReport{Load: l, ToGiveUp: p.recalled}
	if p.answered {
		b.Need = p.need(&l, now)
		p.offer(&l, now)
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
func (p *Pool) need(l *Load, now time.Time) int {
	missing := max(float64(l.Widest)-l.Usable, math.Floor(p.own()*reserve-l.Usable), math.Floor(p.short(l, now)), 0)
	if l.Waiting > l.Usable-l.Used {
		room := max(l.Usable-l.Used, 0)
		byTasks := l.Waiting - room
		byWork := l.Backlog / worthwhile.Seconds()
		missing = max(missing, min(byTasks, byWork))
	}
	if l.Usable < 1 && l.Waiting > 0 {
		missing = max(missing, 1)
	}
	return int(math.Ceil(max(missing, 0)))
}

// short returns how many more machines keep up with what comes in, and work off
// what piles up until they are there.
func (p *Pool) short(l *Load, now time.Time) float64 {
	serving := l.Usable - l.LongRunning
	if l.Expected <= serving {
		p.shortSince = time.Time{}
		return 0
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	until := max(moveTime-now.Sub(p.shortSince), 0).Seconds()
	piled := l.Backlog + (l.Expected-serving)*until
	return l.Expected - serving + piled/workOff.Seconds()
}

// offer holds back the machines that the pool can do without, and those that it
// has to give up: idle ones, and besides the least used ones, where what runs
// ends first. Lasting tasks stay where they are.
func (p *Pool) offer(l *Load, now time.Time) {
	keep := max(p.peak*headroom+1, p.own()*reserve, float64(l.Widest)+1, l.Expected+l.LongRunning)
	idleHeld := 0
	var busyHeld, busy []*worker
	for _, w := range p.workers {
		switch {
		case p.givenUp(w):
			busyHeld = append(busyHeld, w)
		case w.offered && w.listed && !w.lost:
			idleHeld++
		case w.inService() && len(w.runs) > 0 && w.info.Machine != "" && p.toEmpty[w.info.Machine].IsZero():
			busy = append(busy, w)
		}
	}
	hold := max(int(math.Floor(l.Usable-keep)), p.recalled-idleHeld, 0)
	slices.SortFunc(busyHeld, compareUsed)
	chosen := append(p.idleWorkers(now), busyHeld...)
	if len(chosen) < hold {
		slices.SortFunc(busy, compareUsed)
		busy = slices.DeleteFunc(busy, (*worker).lasting)
		chosen = append(chosen, busy...)
	}
	for i, w := range chosen {
		w.offered = i < hold
	}
}

// givenUp reports whether the worker only ends what runs there, for its machine
// to be offered then. One that is offered already may be taken at any time.
func (p *Pool) givenUp(w *worker) bool {
	return w.offered && w.listed && !w.lost && len(w.runs) > 0 && !p.published[w.info.Machine]
}

func compareUsed(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.used.MilliCPU, b.used.MilliCPU), compareIDs(a, b))
}

// own returns how many machines are the pool's own: as the fleet says, or as it
// has now while nothing is said.
func (p *Pool) own() float64 {
	if p.home > 0 {
		return float64(p.home)
	}
	return p.longPeak
}

// SetShare tells how many machines are the pool's own, 0 if that is not known,
// and how many it has to give up.
func (p *Pool) SetShare(home, recalled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.home, p.recalled = home, recalled
}

// idleWorkers returns the workers that could be offered at now, by ID.
func (p *Pool) idleWorkers(now time.Time) []*worker {
	var idle []*worker
	for _, w := range p.workers {
		if w.inService() && w.info.Machine != "" && len(w.runs) == 0 && p.toEmpty[w.info.Machine].IsZero() && now.Sub(w.since) > freshFor {
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
	delete(p.published, machine)
}

// SetOffered takes in which machines are offered, by this owner or an earlier one:
// they may be taken at any time, so nothing starts on any incarnation of theirs.
func (p *Pool) SetOffered(machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range machines {
		p.published[m] = true
	}
	for _, w := range p.workers {
		w.offered = w.offered || p.published[w.info.Machine]
	}
}

const (
	// headroom is the room kept above the recent peak, for what comes while
	// another machine would be on its way.
	headroom = 1.25
	// reserve is the part of its own machines that stays in the pool: it carries
	// the next burst until more arrive.
	reserve = 0.35
	// worthwhile is how long a machine should be busy for its move to pay: a
	// move costs the users about a second of a machine.
	worthwhile = time.Second
	// moveTime is how long a machine takes to a pool that asks for it: the users'
	// bound of a move, and what it takes to ask and to be seen.
	moveTime = 1800 * time.Millisecond
	// workOff is the time in which what has piled up should be worked off: half
	// of what short jobs may wait.
	workOff = time.Second
	// freshFor is how long a machine stays after its arrival.
	freshFor = 2 * time.Second
)
