package placement

import "persimmonbay/internal/fleet"

// place starts queued jobs, the highest rank first.
func (p *planner) place() {
	var queues [rankDue + 1]*queue
	for i := range queues {
		queues[i] = newQueue()
	}
	for i := range p.s.Jobs {
		j := &p.s.Jobs[i]
		if j.Phase != Queued {
			continue
		}
		if reason := p.hopeless(j); reason != "" {
			p.decisions.GivenUp = append(p.decisions.GivenUp, GivenUp{Job: j.ID, Reason: reason})
			continue
		}
		queues[p.rankOf(j)].add(j)
	}
	for i := range queues {
		rank := rankDue - rank(i)
		queues[rank].sort(p.quotaShare)
		p.placeRank(queues[rank], rank)
	}
}

// placeRank starts the jobs of one queue. A size that had no room is not
// looked for again.
func (p *planner) placeRank(q *queue, rank rank) {
	var missed []fleet.Resources
	for len(p.decisions.Starts) < p.policy.MaxStarts {
		j, team := q.next()
		if j == nil {
			return
		}
		size := p.queuedSize(j)
		if !p.used[j.Team].Plus(size).Within(p.s.Teams[j.Team].Quota) || exceedsAny(size, missed) {
			continue
		}
		placed := p.placeJob(j, size, rank)
		team.share = p.quotaShare(team.team)
		if !placed && len(j.Failures) == 0 {
			missed = append(missed, size)
		}
	}
}

// quotaShare returns the share of its quota that a team uses.
func (p *planner) quotaShare(team string) float64 {
	return p.used[team].Share(p.s.Teams[team].Quota)
}

// exceedsAny reports whether size needs at least as much as one that had no
// room.
func exceedsAny(size fleet.Resources, missed []fleet.Resources) bool {
	for _, m := range missed {
		if m.Within(size) {
			return true
		}
	}
	return false
}

// placeJob starts j, has it wait for room that is being left, or makes room for
// it. It returns false when there is none.
func (p *planner) placeJob(j *Job, size fleet.Resources, rank rank) bool {
	if r := p.choose(j, size); r != nil {
		r.take(size)
		p.used[j.Team] = p.used[j.Team].Plus(size)
		p.decisions.Starts = append(p.decisions.Starts, Start{Job: j.ID, Worker: r.worker.ID})
		return true
	}
	r := p.promised(j, size)
	if r == nil && rank > 0 && p.searches > 0 {
		p.searches--
		r = p.makeRoom(j, size, rank)
	}
	if r == nil {
		return false
	}
	r.coming = r.coming.Minus(size)
	p.used[j.Team] = p.used[j.Team].Plus(size)
	return true
}

// promised returns a worker that has room for j once what leaves has left.
func (p *planner) promised(j *Job, size fleet.Resources) *room {
	for i := range p.rooms {
		r := &p.rooms[i]
		if r.takes && r.coming != r.free && size.Within(r.coming) && !j.failedOn(r.worker.ID) {
			return r
		}
	}
	return nil
}
