package placement

import (
	"sort"
	"time"

	"persimmonbay/internal/fleet"
)

// Plan returns the decisions that follow from s under policy. s is not changed.
func Plan(s *Snapshot, policy Policy) Decisions {
	p := &planner{snapshot: s, policy: policy, searchesLeft: policy.MaxSearches,
		byID: make(map[string]*capacity, len(s.Workers)), used: make(map[string]fleet.Resources), released: make(map[string]fleet.Resources), preempted: make(map[string]bool)}
	p.kinds = collectKindNeeds(s, policy)
	p.quarantined, p.proven = classifyWorkers(s, policy, p.kinds)
	p.initCapacities()
	p.accountPlaced()
	p.reclaim()
	p.place()
	p.restore()
	return p.decisions
}

// initCapacities records the capacity of each worker.
func (p *planner) initCapacities() {
	p.capacities = make([]capacity, len(p.snapshot.Workers))
	for i := range p.snapshot.Workers {
		w := &p.snapshot.Workers[i]
		p.capacities[i] = capacity{worker: w, acceptsTasks: w.acceptsTasks() && !p.quarantined[w.ID], free: w.Size, projected: w.Size}
		p.byID[w.ID] = &p.capacities[i]
		p.largest = p.largest.Max(w.Size)
		if p.quarantined[w.ID] {
			p.decisions.Quarantined = append(p.decisions.Quarantined, w.ID)
		}
	}
}

// accountPlaced subtracts what the placed jobs use from workers and quotas.
// Jobs whose worker has not responded, or has been unlisted without a report,
// for longer than LostAfter are lost.
func (p *planner) accountPlaced() {
	for i := range p.snapshot.Jobs {
		j := &p.snapshot.Jobs[i]
		if !j.Phase.Placed() {
			continue
		}
		c, listed := p.byID[j.Attempt.Worker]
		silent := p.snapshot.Usage[j.Attempt.Task].SilentFor
		if silent > p.policy.LostAfter || !listed && p.sinceLastReport(j) > p.policy.LostAfter {
			p.decisions.Lost = append(p.decisions.Lost, j.ID)
		}
		if listed && silent > p.policy.SilentAfter {
			c.acceptsTasks = false
		}
		p.accountJob(j, c)
	}
	for i := range p.capacities {
		occupants := p.capacities[i].occupants
		sort.Slice(occupants, func(a, b int) bool { return occupants[a].preemptedBefore(occupants[b]) })
	}
}

// accountJob subtracts what j uses from its team's quota and from c, which is nil
// when its worker is not listed. A job to be throttled counts in full until the
// platform reports its task as throttled.
func (p *planner) accountJob(j *Job, c *capacity) {
	unthrottled := p.placedSize(j)
	current, eventual := unthrottled, unthrottled
	if j.Throttled {
		eventual = throttled(unthrottled)
		if p.snapshot.Usage[j.Attempt.Task].Throttled {
			current = eventual
		}
	}
	p.used[j.Team] = p.used[j.Team].Plus(current)
	if j.Phase == Leaving || j.Phase == Cancelling {
		p.released[j.Team] = p.released[j.Team].Plus(current)
	}
	if c == nil {
		return
	}
	c.free = c.free.Minus(current)
	if j.Phase == Starting || j.Phase == Running {
		c.projected = c.projected.Minus(eventual)
		c.occupants = append(c.occupants, occupant{job: j, unthrottled: unthrottled, size: eventual, rank: p.rankOf(j)})
	}
}

// sinceLastReport returns the time since the latest report of the job's task, and
// at most the time since reports have been collected and since the attempt began.
func (p *planner) sinceLastReport(j *Job) time.Duration {
	last := p.snapshot.Usage[j.Attempt.Task].ReportedAt
	if last.Before(p.snapshot.Started) {
		last = p.snapshot.Started
	}
	if last.Before(j.Attempt.Since) {
		last = j.Attempt.Since
	}
	return p.snapshot.Now.Sub(last)
}

// restore lifts the throttling of tasks whose worker has enough free processors.
func (p *planner) restore() {
	for i := range p.capacities {
		c := &p.capacities[i]
		for _, o := range c.occupants {
			if !o.job.Throttled || p.preempted[o.job.ID] {
				continue
			}
			more := fleet.Resources{MilliCores: o.unthrottled.MilliCores - o.size.MilliCores}
			if c.fits(more) {
				c.reserve(more)
				p.decisions.Restored = append(p.decisions.Restored, o.job.ID)
			}
		}
	}
}
