package scheduler_test

import (
	"time"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
)

// takeOverOwner is an owner of the pool. It reads and saves as poolmanager's poolOwnership
// does: pages of jobs and states beside each other, 8 saves of 7 jobs at once, with pauses
// that double.
type takeOverOwner struct {
	s            *takeOverSim
	pool         *scheduler.Pool
	token        int64
	ended        bool
	acquiredAt   time.Time
	activeAt     time.Time      // when it last took a step
	endsAt       time.Time      // it does nothing from then on; zero: it still owns the pool
	reads        *takeOverReads // of the load
	pageAt       time.Time      // when the next step of the load is due
	calls        int            // of the store, for jobs
	savesOf      map[string]int
	saving       int             // saves in progress or followed by a pause
	failures     int             // saves that failed since the last one that did not
	outcomes     []takeOverWrite // of saves in progress, and the ends of pauses
	plannedAt    time.Time
	firstStartAt time.Time
	polledAt     map[string]time.Time
}

const (
	takeOverSaveBatch = 7
	takeOverSaves     = 8
	minSavePause      = 50 * time.Millisecond
	maxSavePause      = 400 * time.Millisecond
	takeOverPlanEvery = 100 * time.Millisecond
	// maxCallsPerJob bounds the calls of the store for the pool's jobs, for each job and
	// owner on average: a job's changes take a seventh of a write each.
	maxCallsPerJob = 1
)

func newTakeOverOwner(s *takeOverSim) *takeOverOwner {
	s.store.revision++
	s.store.owner = s.store.revision
	o := &takeOverOwner{s: s, token: s.store.owner, acquiredAt: s.now, savesOf: map[string]int{}, polledAt: map[string]time.Time{}, pageAt: s.now, reads: newTakeOverReads(len(s.store.jobs))}
	o.pool = scheduler.NewPool("tags", o.token, following(timing), s.store.roster, s.now)
	o.pool.BeginLoad()
	s.store.roster = o.pool.Roster(s.now)
	o.pool.SetWorkers(s.infos(), s.now)
	return o
}

// tick takes the steps that are due.
func (o *takeOverOwner) tick() {
	if o.ended || !o.endsAt.IsZero() && !o.s.now.Before(o.endsAt) {
		o.ended = true
		return
	}
	o.activeAt = o.s.now
	outcomes := o.outcomes
	o.outcomes = nil
	for _, w := range outcomes {
		if o.s.now.Before(w.at) {
			o.outcomes = append(o.outcomes, w)
		} else {
			w.then()
		}
	}
	if o.pool.Loading() {
		o.load()
	}
	o.poll()
	if o.pool.Loading() || o.ended {
		return
	}
	if o.token == o.s.store.owner {
		roster := o.pool.Roster(o.s.now)
		o.s.store.roster = roster
		o.pool.RosterSaved(roster)
	}
	if o.s.now.Sub(o.plannedAt) >= takeOverPlanEvery {
		o.plannedAt = o.s.now
		o.plan()
	}
	o.save()
}

// load takes the steps of the load that are due, and applies the jobs once all have arrived.
func (o *takeOverOwner) load() {
	for !o.s.now.Before(o.pageAt) {
		if o.reads.complete() {
			for _, j := range o.s.store.jobs {
				if !j.removed {
					o.pool.AddJob(j.sub, j.created, j.revision, j.progress, o.s.now)
				}
			}
			o.pool.EndLoad()
			return
		}
		wait, calls := o.reads.step(o.s)
		o.pageAt, o.calls = o.s.now.Add(wait), o.calls+calls
	}
}

// poll polls each worker, once a second while the pool is loading.
func (o *takeOverOwner) poll() {
	for _, w := range o.s.workers {
		pause := takeOverPlanEvery
		if o.pool.Loading() && o.pool.HasWorker(w.info.ID) && !o.polledAt[w.info.ID].IsZero() {
			pause = loadingPollInterval
		}
		if o.s.now.Sub(o.polledAt[w.info.ID]) < pause {
			continue
		}
		for range 2 { // the second one extends the lease that the first one found
			req, due := o.pool.NextPoll(w.info.ID, o.s.now)
			if !due {
				break
			}
			reply, result := w.poll(&req)
			if result == scheduler.Fenced {
				o.ended = true
				return
			}
			o.pool.ApplyPoll(reply)
			o.polledAt[w.info.ID] = o.s.now
			if req.Deadline > 0 {
				break
			}
		}
	}
}

func (o *takeOverOwner) plan() {
	plan := o.pool.Plan(o.s.now, o.s.now)
	for i := range plan.Stops {
		result := o.s.byID[plan.Stops[i].Worker].stop(&plan.Stops[i])
		o.ended = o.ended || result == scheduler.Fenced
		o.pool.StopAnswered(plan.Stops[i], result, o.s.now)
	}
	if len(plan.Starts) > 0 && o.firstStartAt.IsZero() {
		o.firstStartAt = o.s.now
		o.s.checkFirst(o, plan.Starts)
	}
	for i := range plan.Starts {
		w := o.s.byID[plan.Starts[i].Worker]
		result := w.start(&plan.Starts[i])
		clock := w.clock()
		o.ended = o.ended || result == scheduler.Fenced
		if o.s.random.Intn(100) < o.s.lostAnswers() {
			result, clock = scheduler.NoResponse, 0
		}
		o.pool.StartAnswered(plan.Starts[i], result, clock, o.s.now)
	}
}

func (o *takeOverOwner) save() {
	for o.saving < takeOverSaves {
		items, _ := o.pool.ClaimUnsaved(takeOverSaveBatch)
		if len(items) == 0 {
			return
		}
		o.saving++
		o.calls++
		for i := range items {
			o.savesOf[items[i].Job]++
		}
		wait, err := o.s.store.save(o.token, items)
		revision := o.s.store.revision
		o.outcomes = append(o.outcomes, takeOverWrite{at: o.s.now.Add(wait), then: func() { o.saved(items, revision, err) }})
	}
}

// saved applies the outcome of a save.
func (o *takeOverOwner) saved(items []scheduler.SaveItem, revision int64, err error) {
	if err == nil {
		o.saving, o.failures = o.saving-1, 0
		o.pool.Saved(items, revision)
		return
	}
	if problem.Is(err, problem.Conflict) {
		o.settle(items)
	} else {
		o.pool.SaveFailed(items)
	}
	o.failures++
	pause := min(minSavePause<<min(o.failures, 3), maxSavePause)
	o.outcomes = append(o.outcomes, takeOverWrite{at: o.s.now.Add(pause), then: func() { o.saving-- }})
}

// settle finds out which condition of a save was not met.
func (o *takeOverOwner) settle(items []scheduler.SaveItem) {
	if o.token != o.s.store.owner {
		o.pool.SaveFailed(items)
		o.ended = true
		return
	}
	for i := range items {
		switch j := o.s.store.byID[items[i].Job]; {
		case j.revision == items[i].Revision:
			o.pool.SaveFailed(items[i : i+1])
		case encoded(j.progress) == encoded(items[i].Progress):
			items[i].Remove = false
			o.pool.Saved(items[i:i+1], j.revision)
		default:
			o.pool.SaveFailed(items[i : i+1])
			o.pool.SaveConflicted(items[i].Job, j.revision, j.progress)
		}
	}
}
