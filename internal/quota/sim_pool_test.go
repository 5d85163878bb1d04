package quota_test

import (
	"time"

	"persimmonbay/internal/quota"
)

// simPool is what is true of one pool, whoever owns it.
type simPool struct {
	sim      *sim
	index    int
	name     string
	owner    *simOwner // that the store names; nil: none
	former   *simOwner // may act during the rest of its lease
	takeOver time.Time
	runs     map[*simRun]bool
	waiting  []simTask
	waitedAt time.Time // since when tasks wait although the team has room; zero: they do not
	busyTo   time.Time // much demand until then
	downTo   [simWorkers]time.Time
}

// accepts reports whether a worker carries out orders of o: no later owner has polled it.
func (p *simPool) accepts(o *simOwner, w int, now time.Time) bool {
	return o == p.owner || p.owner == nil || now.Before(p.owner.fencedAt[w])
}

// start starts a task on a worker.
func (p *simPool) start(each, w int, now time.Time) *simRun {
	rng := p.sim.rng
	r := &simRun{charge: quota.Charge{Team: simTeam, Amount: quota.Amount{MilliCPU: each}}, worker: w, listed: now, ends: now.Add(time.Duration(300+rng.IntN(2000)) * time.Millisecond)}
	r.learnt = r.ends.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
	if p.sim.cutShare > rng.Float64() {
		r.learnt = r.ends.Add(simLease) // its worker is cut off
	}
	if p.sim.lateShare > rng.Float64() {
		r.open, r.pending = now.Add(simLate), now.Add(simLate+simLease)
	}
	p.runs[r] = true
	p.sim.check(p, now)
	return r
}

// restart ends all runs on a worker. Its next incarnation carries out copies of starts that
// are open, and is known to the owner a little later.
func (p *simPool) restart(w int, now time.Time) {
	p.downTo[w] = now.Add(time.Duration(p.sim.rng.IntN(400)) * time.Millisecond)
	var open []*simRun
	for r := range p.runs {
		if r.worker != w {
			continue
		}
		if now.Before(r.ends) {
			r.ends, r.learnt = now, Later(p.downTo[w], now)
		}
		if now.Before(r.open) {
			open = append(open, r)
		}
	}
	for _, r := range open {
		if p.sim.rng.IntN(4) > 0 {
			ordered := r.open.Add(-simLate)
			r.open = time.Time{}
			late := &simRun{charge: r.charge, worker: w, listed: p.downTo[w], ends: now.Add(simLease / 2)}
			late.learnt = late.ends
			p.runs[late] = true
			p.sim.check(p, ordered)
		}
	}
}

// Later returns the later time.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tick ends runs, changes the owner and lets the owners act.
func (p *simPool) tick(now time.Time) {
	for r := range p.runs {
		if now.After(r.learnt) && !now.Before(r.pending) {
			delete(p.runs, r)
		}
	}
	if p.former != nil && now.After(p.former.validTo) {
		p.former = nil
	}
	if p.owner == nil && !now.Before(p.takeOver) {
		p.owner = newSimOwner(p, now)
		for r := range p.runs { // the roster names open starts
			p.owner.addOpen(r, now)
		}
	}
	for _, o := range []*simOwner{p.former, p.owner} {
		if o != nil {
			o.configure(now)
			o.observe(now)
			o.plan(now)
			o.round(now)
		}
	}
}

// running returns what runs in the pool.
func (p *simPool) running(now time.Time) int {
	sum := 0
	for r := range p.runs {
		if now.Before(r.ends) {
			sum += r.charge.Amount.MilliCPU
		}
	}
	return sum
}

// lose ends the ownership: the store names no owner, and the former one may act for a while.
func (p *simPool) lose(now time.Time) {
	if p.owner == nil {
		return
	}
	p.former, p.owner = p.owner, nil
	p.former.validTo = now.Add(time.Duration(p.sim.rng.IntN(2000)) * time.Millisecond)
	p.takeOver = now.Add(time.Duration(p.sim.rng.IntN(800)) * time.Millisecond)
}
