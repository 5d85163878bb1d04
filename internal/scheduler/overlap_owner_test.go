package scheduler_test

import (
	"fmt"
	"math/rand"
	"time"

	"persimmonbay/internal/scheduler"
)

// overlapOwner is an owner of the pool. It follows poolmanager's poolOwnership.
type overlapOwner struct {
	s                *overlapSim
	random           *rand.Rand
	pool             *scheduler.Pool
	token            int64
	formerToken      int64     // its entry's former process owned the pool last, with this token; 0: it did not
	ended            bool      // it does nothing any more
	leaseUntil       time.Time // it may act until then; zero: its lease is renewed
	storeUnreachable bool
	loaded           bool
	releasing        bool
	loadedTo         int64                   // the jobs up to this store revision are loaded
	earlyJobs        []*overlapJob           // received from the watch before the pool was loaded
	ordersInTransit  int                     // starts and stops without a result yet
	savedRoster      string                  // the roster as last saved; empty: not known
	formerRoster     *scheduler.WorkerRoster // the roster that the last owner saved; nil: not read yet
	rosterRevision   int64                   // the last known store revision of the roster
	writingRoster    bool                    // a write of the roster is in progress
	rosterChanged    bool                    // another write has to follow it
	gatherUntil      time.Time               // changes are gathered until then; zero: there are none
	planPending      bool                    // a plan will be made soon
	pollers          map[string]*overlapPoller
	infos            map[string]scheduler.WorkerInfo
	listed           bool      // the list of workers was read
	listRev          int64     // revision of the last change of the list that was applied
	watchAt          time.Time // when the last event of the jobs' watch arrives
	listAt           time.Time // when the last event of the list's watch arrives
}

func newOverlapOwner(s *overlapSim, token, formerToken int64) *overlapOwner {
	o := &overlapOwner{s: s, random: s.random, token: token, formerToken: formerToken, pollers: map[string]*overlapPoller{}, infos: map[string]scheduler.WorkerInfo{}}
	o.trace("takes over; token of its entry's former process: %d", formerToken)
	o.load()
	return o
}

func (o *overlapOwner) trace(format string, args ...any) {
	o.s.log("", scheduler.TaskID{}, "", fmt.Sprintf("owner %d ", o.token)+format, args...)
}

// mayAct reports whether the owner has not ended and its lease is sure to be valid.
func (o *overlapOwner) mayAct() bool {
	return !o.ended && (o.leaseUntil.IsZero() || o.s.now.Before(o.leaseUntil))
}

// end has the owner do nothing any more.
func (o *overlapOwner) end(why string) {
	if !o.ended {
		o.trace("has ended: %s", why)
	}
	o.ended = true
}

// after calls do after d, unless the owner has ended by then.
func (o *overlapOwner) after(d time.Duration, do func()) {
	o.s.after(d, func() {
		if !o.ended {
			do()
		}
	})
}

// load reads the roster and saves it under the new token. Then loadJobs reads the jobs and
// their progress, as poolmanager's tryLoad does.
func (o *overlapOwner) load() {
	o.after(o.s.between(1, 20), func() {
		if o.storeUnreachable {
			o.after(900*time.Millisecond, o.load)
			return
		}
		if o.formerRoster == nil {
			former := o.s.store.roster
			o.formerRoster, o.rosterRevision = &former, o.s.store.rosterRevision
		}
		roster := *o.formerRoster
		o.trace("has read roster %+v", roster)
		roster.Released = roster.Released || o.formerToken != 0 && roster.Token == o.formerToken
		o.pool = scheduler.NewPool("tags", o.token, following(timing), roster, o.s.now)
		o.savedRoster = ""
		now := o.s.now
		o.writeRoster(func(ok bool) {
			if !ok {
				o.after(50*time.Millisecond, o.load)
				return
			}
			if o.s.faults.SlowLoad {
				o.loadSlowly(now)
				return
			}
			o.loadJobs(now, o.load)
		})
	})
}

// loadJobs reads the jobs. After a failed read it calls again.
func (o *overlapOwner) loadJobs(now time.Time, again func()) {
	var jobs []*overlapJob
	o.after(o.s.between(1, 20), func() {
		if o.storeUnreachable {
			o.after(900*time.Millisecond, again)
			return
		}
		o.loadedTo = o.s.store.revision
		for _, id := range o.s.store.jobIDs {
			if j := o.s.store.jobs[id]; !j.removed {
				jobs = append(jobs, j)
			}
		}
		o.after(o.s.between(1, 20), func() {
			if o.storeUnreachable {
				o.after(900*time.Millisecond, again)
				return
			}
			if o.s.store.ownerChanged(o.token, o.loadedTo) {
				o.end("the record of the owner among the pool's jobs names a later one")
				return
			}
			for _, j := range jobs {
				o.s.log(j.sub.ID, scheduler.TaskID{}, "", "owner %d loads %s: %v", o.token, j.sub.ID, j.progress)
				o.pool.AddJob(j.sub, j.created, j.revision, j.progress, now)
			}
			o.begin()
		})
	})
}

func (o *overlapOwner) begin() {
	o.loaded = true
	o.trace("has loaded the jobs up to revision %d", o.loadedTo)
	early := o.earlyJobs
	o.earlyJobs = nil
	for _, j := range early {
		o.watched(j)
	}
	if o.pool.Loading() {
		o.endLoad()
	} else {
		o.after(o.s.between(1, 20), o.readList)
	}
	o.saveLoop()
	o.rosterLoop()
	o.machineWorkersLoop()
	o.capacityLoop()
	o.kickPlan()
}

// watched applies a job that the watch of the store delivers.
func (o *overlapOwner) watched(j *overlapJob) {
	switch {
	case o.ended || o.storeUnreachable:
		return
	case o.s.store.ownerChanged(o.token, j.created):
		o.end("the watch of the pool's work names a later owner")
		return
	case !o.loaded:
		o.earlyJobs = append(o.earlyJobs, j)
		return
	case j.created <= o.loadedTo:
		return
	}
	o.addJob(j, "watch")
}

// notified applies a job of which the accepting entry sent a notice.
func (o *overlapOwner) notified(j *overlapJob) {
	if o.ended || !o.loaded || j.owner != o.token {
		return
	}
	o.addJob(j, "notice")
}

func (o *overlapOwner) addJob(j *overlapJob, source string) {
	if !o.pool.HasJob(j.sub.ID) {
		o.s.log(j.sub.ID, scheduler.TaskID{}, "", "owner %d receives %s by %s", o.token, j.sub.ID, source)
	}
	o.pool.AddJob(j.sub, j.created, j.created, scheduler.Progress{}, o.s.now)
	o.kickPlan()
}

func (o *overlapOwner) capacityLoop() {
	o.pool.CapacityReport(o.s.now) // the report is not used: the call must not panic in any state
	o.after(250*time.Millisecond, o.capacityLoop)
}
