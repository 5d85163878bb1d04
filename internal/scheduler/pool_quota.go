package scheduler

import (
	"time"

	"persimmonbay/internal/quota"
)

// SetQuotaLimits bounds what the pool may have running for each team, and returns what it
// has from then on. A team that is not named has no limit.
func (p *Pool) SetQuotaLimits(limits map[string]quota.Limit) map[string]quota.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.SetLimits(limits)
	return p.quota.Demands()
}

// SetInheritedGrant records what the pool had been granted for a team when this owner first
// read the account: a former owner stayed within that.
func (p *Pool) SetInheritedGrant(team string, granted quota.Amount) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.SetInherited(team, granted)
}

// QuotaDemands returns what the pool has running for each team with a limit, and what
// waited in the last plan for nothing but its team's room.
func (p *Pool) QuotaDemands() map[string]quota.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quota.Demands()
}

// QuotaWaiting reports whether anything waited in the last plan for its team's room.
func (p *Pool) QuotaWaiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quota.Waiting()
}

// QuotaStatuses returns what the pool has for each team with a limit. Like Counts, it can be
// called on an unusable pool.
func (p *Pool) QuotaStatuses() map[string]quota.Status {
	p.mu.mu.Lock()
	defer p.mu.mu.Unlock()
	return p.quota.Statuses()
}

// charge returns what a task of the step counts for.
func (j *job) charge(step int) quota.Charge {
	return quota.Charge{Team: j.sub.Team, Amount: quota.Amount(j.reserved(step))}
}

// teamHasRoom reports whether n tasks of s may start as far as their team's room goes. If
// not, it records what waits, and leaves room for the stage before what is planned after it
// once it has waited for teamPatience, or at once for long-running tasks: smaller tasks would
// take each part of it.
func (p *Pool) teamHasRoom(s *stage, n int, now time.Time) bool {
	team := s.job.sub.Team
	if team == "" {
		return true
	}
	each := quota.Amount(s.step.reserved())
	if p.quota.HasRoom(team, each.Times(n)) {
		s.atCapSince = time.Time{}
		return true
	}
	s.noRoomSince = time.Time{} // no machine would help
	if s.atCapSince.IsZero() {
		s.atCapSince = now
	}
	if !p.quota.CanHold(team, each.Times(n)) || !p.startCandidates.mayFit(s.step.reserved()) {
		return false
	}
	waiting := each.Times(max(n, s.waitingTasks(now)))
	hold, patience := each.Times(n), teamPatience
	if s.step.LongRunning { // its tasks must not be away for long
		patience = 0
		if p.quota.CanHold(team, waiting) {
			hold = waiting
		}
	}
	if waited := now.Sub(s.atCapSince) % teamHoldPeriod; waited < patience || waited >= teamHoldUntil {
		hold = quota.Amount{}
	}
	p.quota.Wait(team, waiting, hold)
	return false
}

// teamPatience is how long a stage waits for its team's room before room is left for it:
// short compared with the users' bound on a job with nothing running (3 s), and longer than
// grants take to move between pools.
const teamPatience = time.Second

// Room is left for a stage up to teamHoldUntil of each teamHoldPeriod: what runs for good may
// take the room that it needs, and the team's other jobs must not wait for it without end.
const (
	teamHoldUntil  = 3 * time.Second
	teamHoldPeriod = 10 * time.Second
)

// chargeStart charges a task of s that is ordered to start on w.
func (p *Pool) chargeStart(s *stage, w *worker) quota.Charge {
	c := s.job.charge(s.index)
	p.quota.ChargeRun(w.info.ID, c, false)
	return c
}

// beginQuotaPlan forgets what waited in the last plan, and sets what runs of a former owner
// that are not known may use: on awaited workers anything that has room there, or the tasks
// that the roster names.
func (p *Pool) beginQuotaPlan() {
	p.quota.BeginPlan()
	if !p.quota.Limited() {
		return
	}
	var anyTeam quota.Amount
	ofTeam := make(map[string]quota.Amount)
	if !p.formerRunsKnown {
		for id, a := range p.awaited {
			if !a.tasksKnown {
				anyTeam = anyTeam.Plus(quota.Amount(p.mostUnknownOn(id)))
				continue
			}
			for task := range a.tasks {
				if j := p.jobs[task.Job]; j != nil {
					c := j.charge(task.Step)
					ofTeam[c.Team] = ofTeam[c.Team].Plus(c.Amount)
				}
			}
		}
	}
	p.quota.SetUnknown(anyTeam, ofTeam)
}

// mostUnknownOn returns what runs that are not known may use on a worker: what is free
// there, or the capacity of the largest worker if this one is not known.
func (p *Pool) mostUnknownOn(id string) Resources {
	if w := p.workers[id]; w != nil {
		return w.info.Capacity.Minus(w.used)
	}
	var most quota.Amount
	for _, w := range p.workers {
		most = most.Max(quota.Amount(w.info.Capacity))
	}
	if most == (quota.Amount{}) {
		return unboundedUse
	}
	return Resources(most)
}

// unboundedUse is more than any grant.
var unboundedUse = Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}

// chargeInherited charges the open starts that a former owner left, once the jobs are
// there: its roster may be of a version that names no teams.
func (p *Pool) chargeInherited() {
	for id, list := range p.openStarts {
		j := p.jobs[id.Job]
		for i := range list {
			if s := &list[i]; s.charge.Team == "" && j != nil {
				s.charge = j.charge(id.Step)
				p.quota.ChargeOpen(s.worker, s.charge)
			}
		}
	}
}

// chargeAdopted charges a run that this owner did not order.
func (p *Pool) chargeAdopted(r *run, c quota.Charge) {
	r.charge, r.adopted = c, true
	p.quota.ChargeRun(r.worker.info.ID, c, true)
}

// releaseOpenStart counts an open start no longer.
func (p *Pool) releaseOpenStart(s *openStart) { p.quota.ReleaseOpen(s.worker, s.charge) }
