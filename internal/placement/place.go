package placement

import "persimmonbay/internal/fleet"

// place gives up or places queued jobs, the highest rank first.
func (p *planner) place() {
	var queues [rankDeadline + 1]*queue
	for i := range queues {
		queues[i] = newQueue()
	}
	for i := range p.snapshot.Jobs {
		j := &p.snapshot.Jobs[i]
		if j.Phase != Queued {
			continue
		}
		if reason := p.giveUpReason(j); reason != "" {
			p.decisions.GivenUp = append(p.decisions.GivenUp, GivenUp{Job: j.ID, Reason: reason})
			continue
		}
		queues[p.rankOf(j)].add(j)
	}
	for i := range queues {
		rank := rankDeadline - rank(i)
		queues[rank].sort(p.quotaShare)
		p.placeRank(queues[rank], rank)
	}
}

// placeRank places the jobs of one queue. Once a size has not fitted, jobs of at
// least that size are skipped. The size of a job that has failed before is not
// recorded as too large, since that job avoids the workers on which it failed.
func (p *planner) placeRank(q *queue, rank rank) {
	var unplaceable []fleet.Resources
	for len(p.decisions.Starts) < p.policy.MaxStarts {
		j, team := q.next()
		if j == nil {
			return
		}
		size := p.queuedSize(j)
		if !p.used[j.Team].Plus(size).Within(p.snapshot.Teams[j.Team].Quota) || exceedsAny(size, unplaceable) {
			continue
		}
		placed := p.placeJob(j, size, rank)
		team.share = p.quotaShare(team.team)
		if !placed && len(j.Failures) == 0 {
			unplaceable = append(unplaceable, size)
		}
	}
}

// quotaShare returns the used share of the team's quota.
func (p *planner) quotaShare(team string) float64 {
	return p.used[team].Share(p.snapshot.Teams[team].Quota)
}

// exceedsAny reports whether size is at least one of the unplaceable sizes in
// every resource.
func exceedsAny(size fleet.Resources, unplaceable []fleet.Resources) bool {
	for _, u := range unplaceable {
		if u.Within(size) {
			return true
		}
	}
	return false
}

// placeJob starts j where it fits now. Otherwise it reserves capacity for j that
// preempted tasks free later, preempting further tasks where necessary. It
// returns false when j fits on no worker either way.
func (p *planner) placeJob(j *Job, size fleet.Resources, rank rank) bool {
	if c := p.chooseWorker(j, size); c != nil {
		c.reserve(size)
		p.used[j.Team] = p.used[j.Team].Plus(size)
		p.decisions.Starts = append(p.decisions.Starts, Start{Job: j.ID, Worker: c.worker.ID})
		return true
	}
	c := p.chooseAfterPreemption(j, size)
	if c == nil && rank > 0 && p.searchesLeft > 0 {
		p.searchesLeft--
		c = p.preemptFor(j, size, rank)
	}
	if c == nil {
		return false
	}
	c.projected = c.projected.Minus(size)
	p.used[j.Team] = p.used[j.Team].Plus(size)
	return true
}

// chooseAfterPreemption returns a worker that j fits once the tasks that are
// leaving have left, or nil when there is none.
func (p *planner) chooseAfterPreemption(j *Job, size fleet.Resources) *capacity {
	for i := range p.capacities {
		c := &p.capacities[i]
		if c.acceptsTasks && c.projected != c.free && size.Within(c.projected) && !j.failedOn(c.worker.ID) {
			return c
		}
	}
	return nil
}
