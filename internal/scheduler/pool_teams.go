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
// last plan, and chooses the job that goes before all others because it has waited for
// longer than waitBound: the one accepted first of those within their teams' weights.
func (p *Pool) updateTeams(now time.Time) {
	p.oldest = nil
	if !p.teams.HasShares() {
		return
	}
	since := now.Add(-waitBound)
	for _, s := range p.waitingStages {
		j := s.job
		if j.progress.State.Final() || s.step.LongRunning {
			continue
		}
		if s.taskWork == 0 {
			s.taskWork = p.taskWork(j, s.step)
		}
		j.account.Wait(float64(max(s.incomplete-j.activeRuns, 1)) * s.taskWork)
		if from := Later(j.sub.AcceptedAt, j.sub.DueAt(s.occurrence)); !j.beyond && !from.After(since) {
			p.oldest, since = j, from.Add(-1)
		}
	}
	p.teams.Update(p.machinesInService(), now)
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
	r.beyond, r.excess, r.teamPriority = j.beyond, j.account.Excess(), j.account.Priority()
}

// waitBound is the wait after which a job goes first, one at a time: in a full pool the
// order by remaining work would keep the largest jobs waiting for as long as smaller ones
// arrive.
const waitBound = 10 * time.Second

// giveWork records for the job's team that a task of the step runs for the given time.
func (p *Pool) giveWork(j *job, step *Step, took time.Duration, now time.Time) {
	if !step.LongRunning && j.account != nil {
		j.account.Give(p.shareOfMachine(step)*took.Seconds(), now)
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
	if j.account != nil {
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
