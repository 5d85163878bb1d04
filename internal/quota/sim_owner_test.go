package quota_test

import (
	"time"

	"persimmonbay/internal/quota"
)

// simOwner is one owner of a pool, with what it knows.
type simOwner struct {
	pool      *simPool
	keeper    *quota.Keeper
	book      *quota.Book
	validTo   time.Time        // it acts until then
	known     map[*simRun]bool // counted runs; true: adopted
	open      map[*simRun]bool // runs of which a copy of the start may be carried out once they have ended
	fencedAt  []time.Time      // by worker; zero: it starts nothing there yet
	readAt    time.Time
	roundAt   time.Time
	inherited bool
	cap       int
}

func newSimOwner(p *simPool, now time.Time) *simOwner {
	o := &simOwner{pool: p, keeper: quota.NewKeeper(p.name, now.UnixMilli()), book: quota.NewBook(), known: map[*simRun]bool{}, open: map[*simRun]bool{}, fencedAt: make([]time.Time, simWorkers)}
	for w := range o.fencedAt {
		delay := time.Duration(p.sim.rng.IntN(300)) * time.Millisecond
		if p.sim.elapsed() > time.Second && p.sim.rng.IntN(8) == 0 {
			delay = simLease // it is cut off until its lease has ended
		}
		o.fencedAt[w] = now.Add(delay)
	}
	o.validTo = now.Add(time.Hour)
	o.configure(now)
	return o
}

func (o *simOwner) configure(now time.Time) {
	limit := o.pool.sim.capKnownTo(o.pool.index, now)
	if limit == o.cap {
		return
	}
	o.cap = limit
	o.keeper.Configure(map[string]quota.Amount{simTeam: {MilliCPU: limit}}, simPools)
	o.decide(now)
}

// observe applies what the workers show, and what runs of a former owner may use there.
func (o *simOwner) observe(now time.Time) {
	var unknown quota.Amount
	for w := range o.fencedAt {
		if now.Before(o.fencedAt[w]) {
			unknown.MilliCPU += simCapacity - o.usedOn(w)
		}
	}
	for r := range o.pool.runs {
		if _, ok := o.known[r]; !ok && now.Before(r.learnt) && !now.Before(Later(o.fencedAt[r.worker], r.listed)) {
			o.known[r] = true
			o.book.ChargeRun(simWorker(r.worker), r.charge, true)
		}
	}
	for r, adopted := range o.known {
		if now.Before(r.learnt) {
			continue
		}
		delete(o.known, r)
		o.book.ReleaseRun(simWorker(r.worker), r.charge, adopted)
		o.addOpen(r, now)
	}
	for r := range o.open {
		if !now.Before(r.pending) {
			delete(o.open, r)
			o.book.ReleaseOpen(simWorker(r.worker), r.charge)
		}
	}
	o.book.BeginPlan()
	o.book.SetUnknown(unknown, nil)
}

func (o *simOwner) addOpen(r *simRun, now time.Time) {
	if now.Before(r.pending) && !o.open[r] {
		o.open[r] = true
		o.book.ChargeOpen(simWorker(r.worker), r.charge)
	}
}

func (o *simOwner) usedOn(w int) int {
	used := 0
	for r := range o.known {
		if r.worker == w {
			used += r.charge.Amount.MilliCPU
		}
	}
	return used
}

// plan starts the tasks that wait in the pool and have room.
func (o *simOwner) plan(now time.Time) {
	for i := 0; i < len(o.pool.waiting); {
		t := o.pool.waiting[i]
		need := quota.Amount{MilliCPU: t.each * t.n}
		if !o.book.HasRoom(simTeam, need) {
			if o.book.CanHold(simTeam, need) {
				var hold quota.Amount
				if waited := now.Sub(t.since) % (10 * time.Second); waited >= time.Second && waited < 3*time.Second {
					hold = need
				}
				o.book.Wait(simTeam, need, hold)
			}
			i++
			continue
		}
		workers := o.place(t, now)
		if workers == nil {
			i++
			continue
		}
		for _, w := range workers {
			r := o.pool.start(t.each, w, now)
			o.known[r] = false
			o.book.ChargeRun(simWorker(w), r.charge, false)
		}
		o.pool.waiting = append(o.pool.waiting[:i], o.pool.waiting[i+1:]...)
	}
}

// place returns a worker for each task, on which this owner may start it.
func (o *simOwner) place(t simTask, now time.Time) []int {
	var workers []int
	free := make([]int, simWorkers)
	for w := range free {
		free[w] = simCapacity - o.usedOn(w)
	}
	for range t.n {
		w := 0
		for w < simWorkers && (now.Before(Later(o.fencedAt[w], o.pool.downTo[w])) || !o.pool.accepts(o, w, now) || free[w] < t.each) {
			w++
		}
		if w == simWorkers {
			return nil
		}
		free[w] -= t.each
		workers = append(workers, w)
	}
	return workers
}

// round reads and writes the account as the owner of a pool does.
func (o *simOwner) round(now time.Time) {
	s := o.pool.sim
	pause := 400 * time.Millisecond
	if o.keeper.Busy() {
		pause = 100 * time.Millisecond
	}
	if now.Sub(o.roundAt) < 40*time.Millisecond || !o.book.Waiting() && now.Sub(o.roundAt) < pause {
		return
	}
	o.roundAt = now
	if !now.Before(s.store.awayTo) && (!o.keeper.Known() || now.Sub(o.readAt) >= o.readAge()) {
		o.keeper.Observe(simTeam, s.store.account, s.store.revision)
		o.readAt = now
		if !o.inherited {
			o.inherited = true
			o.book.SetInherited(simTeam, o.keeper.Granted(simTeam))
			o.observe(now)
		}
	}
	for range 3 {
		proposals := o.decide(now)
		if len(proposals) == 0 || !s.store.write(proposals[0], func() bool { return o.pool.owner == o }, now) {
			return
		}
		if o.pool.owner != o {
			return // the store refuses it and names another owner
		}
		o.keeper.Observe(simTeam, s.store.account, s.store.revision)
	}
	o.decide(now)
}

func (o *simOwner) readAge() time.Duration {
	if len(o.keeper.Short()) > 0 {
		return 200 * time.Millisecond
	}
	return 400 * time.Millisecond
}

func (o *simOwner) decide(now time.Time) []quota.Proposal {
	proposals := o.keeper.Propose(o.book.Demands(), now)
	o.book.SetLimits(o.keeper.Limits())
	return proposals
}
