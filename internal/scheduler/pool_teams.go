package scheduler

import (
	"time"

	"persimmonbay/internal/teams"
)

// SetTeams sets the shares of the teams, by name. Without any, jobs are not told apart by
// their teams.
func (p *Pool) SetTeams(shares map[string]teams.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teams.SetShares(shares)
}

// TeamCounts returns the totals by team, of a bounded number of teams.
func (p *Pool) TeamCounts() map[string]teams.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.teams.Counts()
}

// updateTeams compares what the teams were given, by the stages that had no room in the
// last plan.
func (p *Pool) updateTeams(now time.Time) {
	if !p.teams.HasShares() {
		return
	}
	for _, s := range p.waitingStages {
		if !s.job.progress.State.Final() {
			p.teams.Wait(s.job.sub.Team, float64(max(s.incomplete-s.job.activeRuns, 1))*p.taskWork(s.job, s.step))
		}
	}
	p.teams.Update(p.machinesInService(), now)
	p.chooseOldest(now)
}

// machinesInService returns the number of workers on which tasks may start.
func (p *Pool) machinesInService() float64 {
	n := 0.0
	for _, w := range p.workers {
		if w.inService() {
			n++
		}
	}
	return n
}

// rankTeam adds the place of the job's team to the rank of the job.
func (p *Pool) rankTeam(j *job, r *rank) {
	if r.class < 0 || !p.teams.HasShares() {
		return
	}
	if j == p.oldest {
		r.class = -1
		return
	}
	r.beyond, r.excess, r.teamPriority = j.beyond, p.teams.Excess(j.sub.Team), p.teams.Priority(j.sub.Team)
}

// chooseOldest chooses the job that goes before all others because it has waited for
// longer than waitBound: the one accepted first of those within their teams' weights. It
// goes first until it has ended or nothing of it waits.
func (p *Pool) chooseOldest(now time.Time) {
	p.oldest = nil
	for _, s := range p.waitingStages {
		j := s.job
		from := Later(j.sub.AcceptedAt, j.sub.DueAt(s.occurrence))
		if j.beyond || j.progress.State.Final() || j.sub.LongRunning() || now.Sub(from) < waitBound {
			continue
		}
		if p.oldest == nil || from.Before(Later(p.oldest.sub.AcceptedAt, p.oldest.sub.DueAt(max(len(p.oldest.occurrences)-1, 0)))) {
			p.oldest = j
		}
	}
}

// waitBound is the wait after which a job goes first, one at a time: in a full pool the
// order by remaining work would keep the largest jobs waiting for as long as smaller ones
// arrive.
const waitBound = 10 * time.Second

// giveWork records for the job's team that a task of the step runs for the given time.
func (p *Pool) giveWork(j *job, step *Step, took time.Duration, now time.Time) {
	if !step.LongRunning && p.teams.HasShares() {
		p.teams.Give(j.sub.Team, p.shareOfMachine(step)*took.Seconds(), now)
	}
}

// taskWork returns the expected work of a task of the step, in machine-seconds.
func (p *Pool) taskWork(j *job, step *Step) float64 {
	if step.LongRunning {
		return 0
	}
	return p.shareOfMachine(step) * p.durations.expectedTask(j.sub.Queue, step.Estimate).Seconds()
}

// jobWork returns the expected work of one occurrence of the job, in machine-seconds.
func (p *Pool) jobWork(j *job) float64 {
	work := 0.0
	if p.teams.HasShares() {
		for i := range j.sub.Steps {
			work += float64(j.sub.Steps[i].Count) * p.taskWork(j, &j.sub.Steps[i])
		}
	}
	return work
}

// shareOfMachine returns the part of a machine that a task of the step takes, by the
// resource of which it takes most.
func (p *Pool) shareOfMachine(step *Step) float64 {
	unit := p.lastMachineCapacity
	if unit == (Resources{}) {
		unit = p.machineCapacity()
	}
	return step.reserved().share(unit)
}
