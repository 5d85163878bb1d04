package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/teams"
)

// teamsLoad plays jobs of several teams on a pool in virtual time. Its workers carry out
// each start at once, and each task takes as long as its step's estimate.
type teamsLoad struct {
	*scene
	workers  []string
	running  map[string]map[scheduler.TaskID]scheduler.StartOrder
	endsAt   map[scheduler.TaskID]time.Time
	jobs     map[string]scheduler.Submission
	doneAt   map[string]time.Time
	random   map[string]*rand.Rand // by team, so that what one sends does not change the others
	nameless bool                  // jobs are accepted without their teams
}

func newTeamsLoad(workers int, shares map[string]teams.Share, seed int64) *teamsLoad {
	var infos []scheduler.WorkerInfo
	l := &teamsLoad{
		running: map[string]map[scheduler.TaskID]scheduler.StartOrder{}, endsAt: map[scheduler.TaskID]time.Time{},
		jobs: map[string]scheduler.Submission{}, doneAt: map[string]time.Time{}, random: map[string]*rand.Rand{},
	}
	for i, team := range slices.Sorted(maps.Keys(shares)) {
		l.random[team] = rand.New(rand.NewSource(seed*100 + int64(i)))
	}
	for i := range workers {
		infos = append(infos, worker(fmt.Sprintf("w%02d", i)))
		l.workers = append(l.workers, infos[i].ID)
		l.running[infos[i].ID] = map[scheduler.TaskID]scheduler.StartOrder{}
	}
	l.scene = newScene(infos...)
	l.pool.SetTeams(shares)
	return l
}

const teamsTick = 20 * time.Millisecond

// submit adds a job of n tasks of the team that take the given time.
func (l *teamsLoad) submit(team string, n int, took time.Duration) string {
	sub := batchJob(fmt.Sprintf("j%05d", len(l.jobs)), n)
	sub.Team, sub.Queue, sub.Steps[0].Estimate, sub.AcceptedAt = team, fmt.Sprint("q", n), took, l.now
	if l.nameless {
		sub.Team = ""
	}
	l.jobs[sub.ID] = sub
	l.add(sub)
	return sub.ID
}

// play has each team submit jobs at its rate, as a Poisson process, and runs the pool for d.
// One job in largeEvery has 24 tasks of 1.3 s, the others 8 of 0.8 s.
func (l *teamsLoad) play(d time.Duration, rates map[string]float64) {
	for until := l.now.Add(d); l.now.Before(until); {
		for _, team := range slices.Sorted(maps.Keys(rates)) {
			for p := rates[team] * teamsTick.Seconds(); l.random[team].Float64() < p; p-- {
				if l.random[team].Intn(largeEvery) == 0 {
					l.submit(team, 24, 1300*time.Millisecond)
				} else {
					l.submit(team, 8, 800*time.Millisecond)
				}
			}
		}
		l.tick()
	}
}

const largeEvery = 12

// tick reports the ends that are due, has the pool plan, and starts what it orders.
func (l *teamsLoad) tick() {
	began := l.now
	for _, id := range l.workers {
		var reports []scheduler.RunReport
		var ends []scheduler.EndReport
		for _, task := range slices.SortedFunc(maps.Keys(l.running[id]), func(a, b scheduler.TaskID) int { return cmp.Or(strings.Compare(a.Job, b.Job), a.Index-b.Index) }) {
			o := l.running[id][task]
			if l.endsAt[task].After(l.now) {
				reports = append(reports, runReport(o))
				continue
			}
			ends = append(ends, endReport(o, scheduler.EndDone))
			delete(l.running[id], task)
		}
		if len(reports)+len(ends) > 0 {
			l.poll(id, reports, ends...)
		}
	}
	for job, item := range l.save(l.now.UnixNano()) {
		if item.Progress.State == scheduler.Completed {
			l.doneAt[job] = l.now
		}
	}
	for _, o := range l.startAll() {
		l.running[o.Worker][o.Task] = o
		l.endsAt[o.Task] = l.now.Add(l.jobs[o.Task.Job].Steps[0].Estimate)
	}
	l.now = began.Add(teamsTick)
}

// earned adds the credit of each team for the jobs that were accepted since begin: one for a
// job that meets its objective, lateCredit up to three times that.
func (l *teamsLoad) earned(begin time.Time, credit map[string]float64) {
	for id, sub := range l.jobs {
		if sub.AcceptedAt.Before(begin) {
			continue
		}
		objective := time.Duration(sub.Stretch*float64(sub.Steps[0].Estimate)) + sub.Objective
		switch done, ended := l.doneAt[id]; {
		case ended && !done.After(sub.AcceptedAt.Add(objective)):
			credit[sub.Team]++
		case ended && !done.After(sub.AcceptedAt.Add(3*objective)):
			credit[sub.Team] += lateCredit
		}
	}
}

const lateCredit = 0.07
