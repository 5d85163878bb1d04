package scheduler_test

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapOwner drives a pool as poolmanager's poolOwnership does.
type overlapOwner struct {
	s       *overlapSim
	random  *rand.Rand
	pool    *scheduler.Pool
	token   int64
	past    int64     // fencing token of its entry's earlier incarnation, if that was the last owner
	over    bool      // it does nothing any more
	until   time.Time // its lease surely holds until then; zero: it is renewed
	deaf    bool      // it does not reach the store
	loaded  bool
	leaving bool
	from    int64                   // the jobs up to this revision were loaded
	early   []*overlapJob           // heard of before the load was over
	flying  int                     // starts and stops on their way
	saved   string                  // the roster as last saved; empty: not known
	left    *scheduler.WorkerRoster // what the last owner left
	rostRev int64                   // revision of the roster, as far as it is known
	writing bool                    // a roster is on its way
	again   bool                    // and another has to follow
	gather  time.Time
	planned bool // a plan is about to be made
	pollers map[string]*overlapPoller
	facts   map[string]scheduler.WorkerInfo
	listed  bool
	listRev int64
	watchAt time.Time
	listAt  time.Time
}

func newOverlapOwner(s *overlapSim, token, past int64) *overlapOwner {
	o := &overlapOwner{s: s, random: s.random, token: token, past: past, pollers: map[string]*overlapPoller{}, facts: map[string]scheduler.WorkerInfo{}}
	o.trace("takes over, own past %d", past)
	o.load()
	return o
}

func (o *overlapOwner) trace(format string, args ...any) {
	o.s.note("", scheduler.TaskID{}, "", fmt.Sprintf("owner %d ", o.token)+format, args...)
}

func (o *overlapOwner) holds() bool {
	return !o.over && (o.until.IsZero() || o.s.now.Before(o.until))
}

func (o *overlapOwner) lose(why string) {
	if !o.over {
		o.trace("is over: %s", why)
	}
	o.over = true
}

// after does something later, unless the owner is over by then.
func (o *overlapOwner) after(d time.Duration, do func()) {
	o.s.after(d, func() {
		if !o.over {
			do()
		}
	})
}

// load reads roster, jobs and states, after poolmanager's tryLoad.
func (o *overlapOwner) load() {
	o.after(o.s.between(1, 20), func() {
		if o.deaf {
			o.after(900*time.Millisecond, o.load)
			return
		}
		if o.left == nil {
			left := o.s.store.roster
			o.left, o.rostRev = &left, o.s.store.rosterRevision
		}
		roster := *o.left
		o.trace("has read roster %+v", roster)
		roster.Released = roster.Released || o.past != 0 && roster.Token == o.past
		o.pool = scheduler.NewPool("tags", o.token, timing, roster, o.s.now)
		o.saved = ""
		now := o.s.now
		o.writeRoster(func(ok bool) {
			if !ok {
				o.after(50*time.Millisecond, o.load)
				return
			}
			o.loadJobs(now)
		})
	})
}

func (o *overlapOwner) loadJobs(now time.Time) {
	var jobs []*overlapJob
	o.after(o.s.between(1, 20), func() {
		if o.deaf {
			o.after(900*time.Millisecond, o.load)
			return
		}
		o.from = o.s.store.revision
		for _, id := range o.s.store.order {
			if j := o.s.store.jobs[id]; !j.removed {
				jobs = append(jobs, j)
			}
		}
		o.after(o.s.between(1, 20), func() {
			if o.deaf {
				o.after(900*time.Millisecond, o.load)
				return
			}
			for _, j := range jobs {
				o.s.note(j.sub.ID, scheduler.TaskID{}, "", "owner %d loads %s: %v", o.token, j.sub.ID, j.progress)
				o.pool.AddJob(j.sub, j.created, j.revision, j.progress, now)
			}
			o.begin()
		})
	})
}

func (o *overlapOwner) begin() {
	o.loaded = true
	o.trace("has loaded up to %d", o.from)
	early := o.early
	o.early = nil
	for _, j := range early {
		o.watched(j)
	}
	o.after(o.s.between(1, 20), o.readList)
	o.saveLoop()
	o.rosterLoop()
	o.machineWorkersLoop()
	o.balanceLoop()
	o.kickPlan()
}

// watched takes in a job that the store's watch tells of.
func (o *overlapOwner) watched(j *overlapJob) {
	switch {
	case o.over || o.deaf:
		return
	case o.s.store.ownerAfter(o.token, j.created):
		o.lose("the pool's work names a later owner")
		return
	case !o.loaded:
		o.early = append(o.early, j)
		return
	case j.created <= o.from:
		return
	}
	o.take(j, "watch")
}

// notified takes in a job that an accepting entry tells of.
func (o *overlapOwner) notified(j *overlapJob) {
	if o.over || !o.loaded || j.owner != o.token {
		return
	}
	o.take(j, "notice")
}

func (o *overlapOwner) take(j *overlapJob, way string) {
	if !o.pool.HasJob(j.sub.ID) {
		o.s.note(j.sub.ID, scheduler.TaskID{}, "", "owner %d hears of %s by %s", o.token, j.sub.ID, way)
	}
	o.pool.AddJob(j.sub, j.created, j.created, scheduler.Progress{}, o.s.now)
	o.kickPlan()
}

func (o *overlapOwner) readList() {
	if o.deaf {
		o.after(50*time.Millisecond, o.readList)
		return
	}
	o.listed, o.listRev = true, o.s.listRev
	for id, f := range o.s.store.workers {
		o.facts[id] = f
	}
	o.takeList()
}

// listChanged takes in a change of the platform's list of workers.
func (o *overlapOwner) listChanged(id string, f scheduler.WorkerInfo, there bool, revision int64) {
	if o.over || o.deaf || !o.listed || revision <= o.listRev {
		return
	}
	o.listRev = revision
	delete(o.facts, id)
	if there {
		o.facts[id] = f
	}
	o.trace("hears of the list: %s there %v born %d", id, there, f.Incarnation)
	o.takeList()
}

func (o *overlapOwner) takeList() {
	var facts []scheduler.WorkerInfo
	for _, f := range o.facts {
		facts = append(facts, f)
	}
	sort.Slice(facts, func(a, b int) bool { return facts[a].ID < facts[b].ID })
	o.pool.SetWorkers(facts, o.s.now)
	o.roster()
	for i := range facts {
		if id := facts[i].ID; o.pollers[id] == nil {
			o.pollers[id] = &overlapPoller{worker: id, retry: pollRetry}
			o.continuePolling(o.pollers[id])
		}
	}
	o.kickPlan()
}

func (o *overlapOwner) balanceLoop() {
	o.pool.CapacityReport(o.s.now) // what it says is not used here; it meets every state
	o.after(250*time.Millisecond, o.balanceLoop)
}

// machineWorkersLoop tells the pool which workers are alive while it has doubts.
func (o *overlapOwner) machineWorkersLoop() {
	o.after(300*time.Millisecond, func() {
		if !o.pool.HasSilentWorkers() {
			o.machineWorkersLoop()
			return
		}
		asked := o.s.now
		way, back := o.s.between(1, 10), o.s.between(1, 10)
		if o.s.knobs.StaleList && !o.s.calm {
			way, back = o.s.between(1, 100), o.s.between(1, 800)
		}
		o.after(way, func() {
			lives := map[string]string{}
			for _, m := range o.s.machines {
				lives[m.name] = m.current()
			}
			o.after(back, func() {
				o.trace("takes lives %v as of %v ago", lives, back)
				o.pool.SetMachineWorkers(lives, asked, o.s.now)
				o.kickPlan()
				o.machineWorkersLoop()
			})
		})
	})
}
