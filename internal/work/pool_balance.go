package work

import (
	"math"
	"slices"
	"time"
)

// Balance decides how many more machines the pool could use at now, and which
// it can spare. Machines offered get no new tasks until Reclaim names them.
func (p *Pool) Balance(now time.Time) Balance {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.measure(now)
	p.follow(&l, now)
	b := Balance{Load: l}
	if p.settled {
		b.Need = p.need(&l)
		p.offer(&l, now)
	}
	for _, w := range p.workers {
		if w.offered && w.listed {
			b.Offers = append(b.Offers, w.facts.Machine)
		}
	}
	slices.Sort(b.Offers)
	return b
}

// need returns how many more machines would be busy for long enough to be worth
// their move.
func (p *Pool) need(l *Load) int {
	missing := max(float64(l.Widest)-l.Have, 0)
	if l.Waiting > l.Have-l.Used {
		room := max(l.Have-l.Used, 0)
		byTasks := l.Waiting - room
		byWork := l.Backlog / worthwhile.Seconds()
		missing = max(missing, min(byTasks, byWork))
	}
	if l.Have < 1 && l.Waiting > 0 {
		missing = max(missing, 1)
	}
	return int(math.Ceil(max(missing, 0)))
}

// offer holds back idle machines that the pool can do without.
func (p *Pool) offer(l *Load, now time.Time) {
	keep := max(p.peak*headroom+1, p.longPeak*reserve, float64(l.Widest)+1)
	spare := int(math.Floor(l.Have - keep))
	for _, w := range p.idleWorkers(now) {
		if spare <= 0 {
			return
		}
		w.offered = true
		spare--
	}
}

// idleWorkers returns the workers that could be offered at now, by ID.
func (p *Pool) idleWorkers(now time.Time) []*worker {
	var idle []*worker
	for _, w := range p.workers {
		if w.inService() && w.facts.Machine != "" && len(w.runs) == 0 && p.asked[w.facts.Machine].IsZero() && now.Sub(w.since) > freshFor {
			idle = append(idle, w)
		}
	}
	slices.SortFunc(idle, compareIDs)
	return idle
}

// Reclaim takes in that an offered machine was not taken and stays.
func (p *Pool) Reclaim(machine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.facts.Machine == machine {
			w.offered = false
		}
	}
	delete(p.offeredBefore, machine)
}

// Offered takes in which machines an earlier owner has offered: they may be
// taken at any time.
func (p *Pool) Offered(machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range machines {
		p.offeredBefore[m] = true
	}
}

const (
	// headroom is the room kept above the recent peak, for what comes while
	// another machine would be on its way.
	headroom = 1.25
	// reserve is the part of the highest load of the last while that stays in
	// the pool: it carries the next burst until more machines arrive.
	reserve = 0.45
	// worthwhile is how long a machine should be busy for its move to pay: a
	// move costs the users about a second of a machine.
	worthwhile = time.Second
	// freshFor is how long a machine stays after its arrival.
	freshFor = 1500 * time.Millisecond
)
